package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The aggregate bucket of one duty term (docs/design.md, section 8.2). */
public final class AggregateBucket {
    private static final int MAX_GRANTS = 1 << 20;
    private static final Duration ACTIVE_WINDOW = Duration.ofSeconds(3);

    private static final class Grant {
        final String requester;
        final long id;
        final int granted;
        final Duration until;
        int spent;
        boolean closed;

        Grant(String requester, long id, int granted, Duration until) {
            this.requester = requester;
            this.id = id;
            this.granted = granted;
            this.until = until;
        }

        int out() {
            return closed ? 0 : granted - spent;
        }
    }

    /** A node that asked lately; its first grants are small and double, so that one cannot empty the bucket. */
    private record Requester(Duration last, int largestRequest) {}

    private final long term;
    private final TokenBucket bucket;
    private final Map<String, Grant> byId = new HashMap<>();
    private final Deque<Grant> byEnd = new ArrayDeque<>();
    private final Map<String, Requester> requesters = new HashMap<>();
    /** What earlier terms may still have out, and until when. */
    private double formerOutstanding;

    private final Duration formerOutstandingUntil;
    private int outstanding;

    /**
     * A first term starts full; a later one at the level handed over. Unless the tokens of earlier terms are dead, as
     * many as the bucket holds above that level may still be out. (docs/design.md, section 8.4)
     */
    public AggregateBucket(long term, double handedLevel, boolean clear, RateLimit limit, Duration now) {
        this.term = term;
        boolean first = term <= 1;
        double level = first ? limit.burst() : Math.max(0, Math.min(limit.burst(), handedLevel));
        this.formerOutstanding = first || clear ? 0 : limit.burst() - level;
        this.formerOutstandingUntil = now.plus(TokenMessages.TOKEN_LIFETIME).plus(TokenMessages.EXPIRY_MARGIN);
        this.bucket = new TokenBucket(limit, level, now);
    }

    private void fill(Duration to) {
        if (formerOutstanding > 0 && to.compareTo(formerOutstandingUntil) >= 0) {
            bucket.fill(formerOutstandingUntil, outstanding + formerOutstanding);
            formerOutstanding = 0;
        }
        bucket.fill(to, outstanding + formerOutstanding);
    }

    /** The term of the singleton lease under which this bucket grants. */
    public long term() {
        return term;
    }

    /** The tokens that are left. */
    public double level(Duration now) {
        expireGrants(now);
        return bucket.level();
    }

    /** Granted tokens that may still be spent. */
    public int outstanding() {
        return outstanding;
    }

    /** The nodes that have asked lately. */
    public int activeRequesters() {
        return Math.max(1, requesters.size());
    }

    /** Another limit applies from now on. */
    public void setLimit(RateLimit limit, Duration now) {
        expireGrants(now);
        bucket.setLimit(limit);
    }

    /** Step by step: the time in which passes were out is not counted as time of filling once they are dead. */
    private void expireGrants(Duration now) {
        while (!byEnd.isEmpty() && byEnd.peek().until.compareTo(now) <= 0) {
            Grant grant = byEnd.poll();
            fill(grant.until);
            outstanding -= grant.out();
            byId.remove(grant.requester + "/" + grant.id);
        }
        requesters.values().removeIf(requester -> now.minus(requester.last()).compareTo(ACTIVE_WINDOW) > 0);
        fill(now);
    }

    private void report(String requester, TokenMessages.UsageReport report) {
        Optional.ofNullable(byId.get(requester + "/" + report.grant()))
                .filter(grant -> !grant.closed)
                .ifPresent(grant -> {
                    int before = grant.out();
                    grant.spent = Math.max(grant.spent, Math.min(report.spent(), grant.granted));
                    if (report.closed()) {
                        bucket.putBack(grant.granted - grant.spent);
                        grant.closed = true;
                    }
                    outstanding += grant.out() - before;
                });
    }

    /** Idempotent by asker and grant id; never grants more than the aggregate holds, nor for longer than the lease. */
    public TokenMessages.TokenResponse grant(
            String requester, TokenMessages.TokenRequest request, Duration leaseEnd, Duration now) {
        expireGrants(now);
        request.reports().forEach(report -> report(requester, report));
        fill(now);
        Duration left = leaseEnd.minus(now);
        Duration lifetime = left.compareTo(TokenMessages.TOKEN_LIFETIME) < 0 ? left : TokenMessages.TOKEN_LIFETIME;
        Grant known = byId.get(requester + "/" + request.grant());
        if (known != null) {
            return new TokenMessages.TokenResponse(request.grant(), known.granted, Duration.ZERO, term, lifetime);
        }
        if (request.grant() == TokenMessages.NO_GRANT) {
            return new TokenMessages.TokenResponse(request.grant(), 0, Duration.ZERO, term, lifetime);
        }
        int most = Optional.ofNullable(requesters.get(requester))
                .map(Requester::largestRequest)
                .orElse(1);
        requesters.put(requester, new Requester(now, Math.min(most * 2, MAX_GRANTS)));
        // not more than half of the bucket is lent ahead of need: what is out is missing where it is wanted.
        // (docs/design.md, section 8.3)
        RateLimit mine = bucket.limit();
        int batch = (int) Math.max(1, Math.min(mine.ratePerS(), mine.burst() / 2.0) / activeRequesters());
        int want = Math.max(Math.min(batch, most), request.minimum());
        int tokens = (int) Math.min(want, Math.floor(bucket.level() + TokenBucket.ROUNDING));
        if (tokens <= 0 || !bucket.take(tokens)) {
            return new TokenMessages.TokenResponse(request.grant(), 0, bucket.timeUntil(1), term, lifetime);
        }
        Grant grant = new Grant(
                requester,
                request.grant(),
                tokens,
                now.plus(TokenMessages.TOKEN_LIFETIME).plus(TokenMessages.EXPIRY_MARGIN));
        byId.put(requester + "/" + request.grant(), grant);
        byEnd.add(grant);
        outstanding += tokens;
        return new TokenMessages.TokenResponse(request.grant(), tokens, Duration.ZERO, term, lifetime);
    }
}
