package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The aggregate bucket of one term of the singleton lease (docs/design.md, section 8.2). */
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

        int outstanding() {
            return closed ? 0 : granted - spent;
        }
    }

    /**
     * A node that requested tokens lately. Its first grants are small and then double, so that a single node cannot empty
     * the bucket.
     */
    private record Requester(Duration lastRequest, int maxBatch) {}

    private final long term;
    private final TokenBucket bucket;
    private final Map<String, Grant> byId = new HashMap<>();
    private final Deque<Grant> byExpiry = new ArrayDeque<>();
    private final Map<String, Requester> requesters = new HashMap<>();
    /** Tokens of earlier terms that may still be spent, until {@link #formerOutstandingUntil}. */
    private double formerOutstanding;

    private final Duration formerOutstandingUntil;
    private int outstanding;

    /**
     * The first term starts with a full bucket, a later one at the level that the previous owner released. Unless all
     * tokens of earlier terms have expired, the difference between the burst size and that level may still be
     * outstanding. (docs/design.md, section 8.4)
     *
     * @param clear whether all tokens of earlier terms have expired
     */
    public AggregateBucket(long term, double releasedLevel, boolean clear, RateLimit limit, Duration now) {
        this.term = term;
        boolean first = term <= 1;
        double level = first ? limit.burst() : Math.max(0, Math.min(limit.burst(), releasedLevel));
        this.formerOutstanding = first || clear ? 0 : limit.burst() - level;
        this.formerOutstandingUntil = now.plus(TokenMessages.TOKEN_LIFETIME).plus(TokenMessages.EXPIRY_MARGIN);
        this.bucket = new TokenBucket(limit, level, now);
    }

    private void fill(Duration now) {
        if (formerOutstanding > 0 && now.compareTo(formerOutstandingUntil) >= 0) {
            bucket.fill(formerOutstandingUntil, outstanding + formerOutstanding);
            formerOutstanding = 0;
        }
        bucket.fill(now, outstanding + formerOutstanding);
    }

    /** Returns the term of the singleton lease under which this bucket grants tokens. */
    public long term() {
        return term;
    }

    /** Returns the number of tokens that are left. */
    public double level(Duration now) {
        expireGrants(now);
        return bucket.level();
    }

    /** Returns the number of granted tokens that may still be spent. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns the number of nodes that requested tokens lately, at least one. */
    public int activeRequesters() {
        return Math.max(1, requesters.size());
    }

    /** Replaces the limit. */
    public void setLimit(RateLimit limit, Duration now) {
        expireGrants(now);
        bucket.setLimit(limit);
    }

    /**
     * Expires grants one by one, refilling up to the end of each: the time in which tokens were outstanding must not count
     * as refill time once they have expired.
     */
    private void expireGrants(Duration now) {
        while (!byExpiry.isEmpty() && byExpiry.peek().until.compareTo(now) <= 0) {
            Grant grant = byExpiry.poll();
            fill(grant.until);
            outstanding -= grant.outstanding();
            byId.remove(grant.requester + "/" + grant.id);
        }
        requesters
                .values()
                .removeIf(requester -> now.minus(requester.lastRequest()).compareTo(ACTIVE_WINDOW) > 0);
        fill(now);
    }

    private void report(String requester, TokenMessages.UsageReport report) {
        Optional.ofNullable(byId.get(requester + "/" + report.grant()))
                .filter(grant -> !grant.closed)
                .ifPresent(grant -> {
                    int before = grant.outstanding();
                    grant.spent = Math.max(grant.spent, Math.min(report.spent(), grant.granted));
                    if (report.closed()) {
                        bucket.putBack(grant.granted - grant.spent);
                        grant.closed = true;
                    }
                    outstanding += grant.outstanding() - before;
                });
    }

    /**
     * Grants tokens; idempotent by requester and grant id. Never grants more tokens than the bucket has, nor for longer than
     * the lease.
     */
    public TokenMessages.TokenResponse grant(
            String requester, TokenMessages.TokenRequest request, Duration leaseEnd, Duration now) {
        expireGrants(now);
        request.reports().forEach(report -> report(requester, report));
        fill(now);
        Duration leaseRemaining = leaseEnd.minus(now);
        Duration lifetime = leaseRemaining.compareTo(TokenMessages.TOKEN_LIFETIME) < 0
                ? leaseRemaining
                : TokenMessages.TOKEN_LIFETIME;
        Grant existing = byId.get(requester + "/" + request.grant());
        if (existing != null) {
            return new TokenMessages.TokenResponse(request.grant(), existing.granted, Duration.ZERO, term, lifetime);
        }
        if (request.grant() == TokenMessages.NO_GRANT) {
            return new TokenMessages.TokenResponse(request.grant(), 0, Duration.ZERO, term, lifetime);
        }
        int maxBatch = Optional.ofNullable(requesters.get(requester))
                .map(Requester::maxBatch)
                .orElse(1);
        requesters.put(requester, new Requester(now, Math.min(maxBatch * 2, MAX_GRANTS)));
        // at most half of the bucket is granted ahead of need: outstanding tokens are missing where they are needed
        // (docs/design.md, section 8.3)
        RateLimit limit = bucket.limit();
        int batch = (int) Math.max(1, Math.min(limit.ratePerS(), limit.burst() / 2.0) / activeRequesters());
        int wanted = Math.max(Math.min(batch, maxBatch), request.minimum());
        int tokens = (int) Math.min(wanted, Math.floor(bucket.level() + TokenBucket.ROUNDING));
        if (tokens <= 0 || !bucket.take(tokens)) {
            return new TokenMessages.TokenResponse(request.grant(), 0, bucket.timeUntil(1), term, lifetime);
        }
        Grant grant = new Grant(
                requester,
                request.grant(),
                tokens,
                now.plus(TokenMessages.TOKEN_LIFETIME).plus(TokenMessages.EXPIRY_MARGIN));
        byId.put(requester + "/" + request.grant(), grant);
        byExpiry.add(grant);
        outstanding += tokens;
        return new TokenMessages.TokenResponse(request.grant(), tokens, Duration.ZERO, term, lifetime);
    }
}
