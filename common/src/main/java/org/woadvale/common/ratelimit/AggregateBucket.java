package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The aggregate bucket of one duty term: design 8.2. */
public final class AggregateBucket {
    private static final int MOST = 1 << 20;
    private static final Duration ACTIVE = Duration.ofSeconds(3);

    private static final class Grant {
        final String asker;
        final long id;
        final int granted;
        final Duration until;
        int spent;
        boolean closed;

        Grant(String asker, long id, int granted, Duration until) {
            this.asker = asker;
            this.id = id;
            this.granted = granted;
            this.until = until;
        }

        int out() {
            return closed ? 0 : granted - spent;
        }
    }

    /** A node that asked lately; its first grants are small and double, so that one cannot empty the bucket. */
    private record Asker(Duration last, int most) {}

    private final long term;
    private final Bucket bucket;
    private final Map<String, Grant> byId = new HashMap<>();
    private final Deque<Grant> byEnd = new ArrayDeque<>();
    private final Map<String, Asker> askers = new HashMap<>();
    /** What earlier terms may still have out, and until when. */
    private double before;

    private final Duration beforeUntil;
    private int outstanding;

    /**
     * A first term starts full; a later one at the level handed over. Unless the passes of earlier terms are dead,
     * as many as the bucket holds above that level may still be out. design 8.4
     */
    public AggregateBucket(long term, double handedLevel, boolean clear, RateLimit a, Duration now) {
        this.term = term;
        boolean first = term <= 1;
        double level = first ? a.burst() : Math.max(0, Math.min(a.burst(), handedLevel));
        this.before = first || clear ? 0 : a.burst() - level;
        this.beforeUntil = now.plus(AdmissionTokens.LIFE).plus(AdmissionTokens.MARGIN);
        this.bucket = new Bucket(a, level, now);
    }

    private void fill(Duration to) {
        if (before > 0 && to.compareTo(beforeUntil) >= 0) {
            bucket.fill(beforeUntil, outstanding + before);
            before = 0;
        }
        bucket.fill(to, outstanding + before);
    }

    public long term() {
        return term;
    }

    public double level(Duration now) {
        settle(now);
        return bucket.level();
    }

    public int outstanding() {
        return outstanding;
    }

    public int active() {
        return Math.max(1, askers.size());
    }

    public void change(RateLimit a, Duration now) {
        settle(now);
        bucket.change(a);
    }

    /** Step by step: the time in which passes were out is not counted as time of filling once they are dead. */
    private void settle(Duration now) {
        while (!byEnd.isEmpty() && byEnd.peek().until.compareTo(now) <= 0) {
            Grant g = byEnd.poll();
            fill(g.until);
            outstanding -= g.out();
            byId.remove(g.asker + "/" + g.id);
        }
        askers.values().removeIf(x -> now.minus(x.last()).compareTo(ACTIVE) > 0);
        fill(now);
    }

    private void report(String asker, AdmissionTokens.Report r) {
        Optional.ofNullable(byId.get(asker + "/" + r.grant()))
                .filter(g -> !g.closed)
                .ifPresent(g -> {
                    int before = g.out();
                    g.spent = Math.max(g.spent, Math.min(r.spent(), g.granted));
                    if (r.closed()) {
                        bucket.giveBack(g.granted - g.spent);
                        g.closed = true;
                    }
                    outstanding += g.out() - before;
                });
    }

    /** Idempotent by asker and grant id; never grants more than the aggregate holds, nor for longer than the lease. */
    public AdmissionTokens.PassReply ask(String asker, AdmissionTokens.PassAsk a, Duration leaseEnd, Duration now) {
        settle(now);
        a.reports().forEach(r -> report(asker, r));
        fill(now);
        Duration left = leaseEnd.minus(now);
        Duration life = left.compareTo(AdmissionTokens.LIFE) < 0 ? left : AdmissionTokens.LIFE;
        Grant known = byId.get(asker + "/" + a.grant());
        if (known != null) {
            return new AdmissionTokens.PassReply(a.grant(), known.granted, Duration.ZERO, term, life);
        }
        if (a.grant() == AdmissionTokens.NO_GRANT) {
            return new AdmissionTokens.PassReply(a.grant(), 0, Duration.ZERO, term, life);
        }
        int most = Optional.ofNullable(askers.get(asker)).map(Asker::most).orElse(1);
        askers.put(asker, new Asker(now, Math.min(most * 2, MOST)));
        // not more than half of the bucket is lent ahead of need: what is out is missing where it is wanted. design 8.3
        RateLimit mine = bucket.allowance();
        int batch = (int) Math.max(1, Math.min(mine.ratePerS(), mine.burst() / 2.0) / active());
        int want = Math.max(Math.min(batch, most), a.least());
        int n = (int) Math.min(want, Math.floor(bucket.level() + 1e-9));
        if (n <= 0 || !bucket.take(n)) {
            return new AdmissionTokens.PassReply(a.grant(), 0, bucket.until(1), term, life);
        }
        Grant g = new Grant(asker, a.grant(), n, now.plus(AdmissionTokens.LIFE).plus(AdmissionTokens.MARGIN));
        byId.put(asker + "/" + a.grant(), g);
        byEnd.add(g);
        outstanding += n;
        return new AdmissionTokens.PassReply(a.grant(), n, Duration.ZERO, term, life);
    }
}
