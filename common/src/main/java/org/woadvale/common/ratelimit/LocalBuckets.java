package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** All local buckets of a node: asks ahead, and lets a few wait shortly on an empty one. design 8.3 */
public final class LocalBuckets {
    public static final Duration WAIT = Duration.ofMillis(250);
    private static final Duration SEEN = Duration.ofSeconds(2);
    private static final Duration ASK = Duration.ofMillis(200);
    private static final Duration AGAIN = Duration.ofMillis(30);
    private static final Duration TELL = Duration.ofMillis(100);
    private static final int MAX_WAITING = 256;

    private record Waiting(Sinks.One<LocalBucket.Pass> sink, Duration until) {}

    private static final class Local {
        final LocalBucket localBucket = new LocalBucket();
        final Deque<Waiting> waiting = new ArrayDeque<>();
        Duration seen = Duration.ZERO;
        Duration notBefore = Duration.ZERO;
        Duration retry = WAIT;
        boolean asking;
        /** Somebody wanted a pass and did not wait for it. */
        boolean missed;

        Duration told = Duration.ZERO;
        long pending;
        Duration pendingSince = Duration.ZERO;
    }

    /** Counts for the measurements: drawn at once, after a wait, or not at all. */
    public record Counts(long atOnce, long waited, long throttled, long asks) {}

    private final Env env;
    private final ViewSubscriptions subscriptions;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Local> all = new HashMap<>();
    private TimerHandle looking = () -> {};
    private long nextGrant;
    private long atOnce;
    private long waited;
    private long throttled;
    private long asks;

    public LocalBuckets(Env env, ViewSubscriptions subscriptions) {
        this.env = env;
        this.subscriptions = subscriptions;
        this.nextGrant = env.random().getAsLong() >>> 8;
    }

    public void start() {
        looking = env.schedules().every(Duration.ofMillis(25), this::look);
    }

    public void stop() {
        looking.cancel();
    }

    private Duration now() {
        return env.times().mono();
    }

    /** At once where the local bucket holds one; else a short wait for the refill in flight, bounded by the given one and by WAIT. */
    public Mono<LocalBucket.Pass> take(String bucket, Duration wait) {
        return Mono.defer(() -> shard.get(() -> {
            Local l = all.computeIfAbsent(bucket, b -> new Local());
            l.seen = now();
            Optional<LocalBucket.Pass> p = l.waiting.isEmpty() ? l.localBucket.take(now()) : Optional.empty();
            if (p.isPresent()) {
                atOnce++;
                refill(bucket, l);
                return Mono.just(p.get());
            }
            boolean hopeless = l.retry.compareTo(WAIT) > 0 && l.notBefore.compareTo(now()) > 0;
            if (l.waiting.size() >= MAX_WAITING || hopeless) {
                throttled++;
                return Mono.error(throttled(l));
            }
            Waiting w = new Waiting(Sinks.one(), now().plus(wait.compareTo(WAIT) < 0 ? wait : WAIT));
            l.waiting.add(w);
            refill(bucket, l);
            return w.sink().asMono();
        }));
    }

    /** Without any wait; for the leaving direction, where the next look tries again. */
    public Optional<LocalBucket.Pass> tryTake(String bucket) {
        return shard.get(() -> {
            Local l = all.computeIfAbsent(bucket, b -> new Local());
            l.seen = now();
            Optional<LocalBucket.Pass> p = l.localBucket.take(now());
            p.ifPresent(x -> atOnce++);
            l.missed = p.isEmpty();
            refill(bucket, l);
            return p;
        });
    }

    public boolean alive(LocalBucket.Pass p) {
        return now().compareTo(p.until()) < 0;
    }

    public void putBack(String bucket, LocalBucket.Pass p) {
        shard.run(() -> Optional.ofNullable(all.get(bucket)).ifPresent(l -> l.localBucket.putBack(p)));
    }

    public void settle(String bucket, LocalBucket.Pass p) {
        shard.run(() -> Optional.ofNullable(all.get(bucket)).ifPresent(l -> l.localBucket.settle(p)));
    }

    private ServiceException throttled(Local l) {
        long s = Math.max(1, (l.retry.toMillis() + 999) / 1000);
        return new ServiceException(ErrorKind.THROTTLED, "The allowance is spent for now.", List.of(Long.toString(s)));
    }

    private void look() {
        shard.run(() -> all.forEach((b, l) -> {
            serve(l);
            while (!l.waiting.isEmpty() && now().compareTo(l.waiting.peek().until()) >= 0) {
                Waiting w = l.waiting.poll();
                throttled++;
                ServiceException f = throttled(l);
                shard.leave(() -> w.sink().tryEmitError(f));
            }
            if (now().minus(l.seen).compareTo(SEEN) < 0) {
                refill(b, l);
                report(b, l);
            }
        }));
    }

    private void serve(Local l) {
        while (!l.waiting.isEmpty()) {
            Optional<LocalBucket.Pass> p = l.localBucket.take(now());
            if (p.isEmpty()) {
                return;
            }
            Waiting w = l.waiting.poll();
            waited++;
            shard.leave(() -> w.sink().tryEmitValue(p.get()));
        }
    }

    private void refill(String bucket, Local l) {
        boolean need = !l.waiting.isEmpty() || l.missed || (l.localBucket.low(now()) && !l.localBucket.tiny());
        if (!need || l.asking || now().compareTo(l.notBefore) < 0) {
            return;
        }
        Optional<String> holder =
                Optional.of(subscriptions.latest(bucket).duty().holder()).filter(h -> !h.isEmpty());
        if (holder.isEmpty()) {
            l.notBefore = now().plus(AGAIN);
            shard.leave(() -> subscriptions.hurry(bucket));
            return;
        }
        if (l.pending == 0 || now().minus(l.pendingSince).compareTo(AdmissionTokens.LIFE.dividedBy(2)) > 0) {
            l.pending = ++nextGrant;
            l.pendingSince = now();
        }
        l.asking = true;
        l.told = now();
        asks++;
        Duration since = l.pendingSince;
        AdmissionTokens.PassAsk ask = new AdmissionTokens.PassAsk(
                bucket, l.pending, Math.max(l.waiting.size(), l.missed ? 1 : 0), l.localBucket.reports(now()));
        shard.leave(() -> env.rpc()
                .ask(holder.get(), ask, AdmissionTokens.PassReply.class, ASK)
                .subscribe(
                        r -> shard.run(() -> granted(bucket, l, r, since)),
                        e -> shard.run(() -> {
                            l.asking = false;
                            l.notBefore = now().plus(AGAIN);
                            // the holder may be another by now: design 8.4
                            shard.leave(() -> subscriptions.hurry(bucket));
                        })));
    }

    /** What is spent is told soon: the holder fills only what is not out. */
    private void report(String bucket, Local l) {
        Optional<String> holder =
                Optional.of(subscriptions.latest(bucket).duty().holder()).filter(h -> !h.isEmpty());
        if (l.asking
                || holder.isEmpty()
                || !l.localBucket.hasNews()
                || now().minus(l.told).compareTo(TELL) < 0) {
            return;
        }
        l.told = now();
        asks++;
        AdmissionTokens.PassAsk ask =
                new AdmissionTokens.PassAsk(bucket, AdmissionTokens.NO_GRANT, 0, l.localBucket.reports(now()));
        shard.leave(() -> env.rpc()
                .ask(holder.get(), ask, AdmissionTokens.PassReply.class, ASK)
                .subscribe(r -> {}, e -> {}));
    }

    private void granted(String bucket, Local l, AdmissionTokens.PassReply r, Duration asked) {
        l.asking = false;
        l.missed = false;
        l.pending = 0;
        l.localBucket.granted(r.grant(), r.granted(), asked, r.life(), now());
        l.retry = r.granted() > 0 ? AGAIN : r.retry();
        if (r.granted() == 0) {
            Duration pause = r.retry().compareTo(WAIT) > 0 ? WAIT : r.retry();
            l.notBefore = now().plus(pause.compareTo(AGAIN) < 0 ? AGAIN : pause);
        }
        serve(l);
        refill(bucket, l);
    }

    public Counts counts() {
        return shard.get(() -> new Counts(atOnce, waited, throttled, asks));
    }
}
