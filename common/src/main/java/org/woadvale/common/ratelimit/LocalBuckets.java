package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** All local buckets of a node: asks ahead, and lets a few wait shortly on an empty one. design 8.3 */
public final class LocalBuckets {
    public static final Duration MAX_WAIT = Duration.ofMillis(250);
    private static final Duration IDLE_AFTER = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(200);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(30);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_WAITING = 256;

    private record PendingAdmission(Sinks.One<LocalBucket.AdmissionToken> sink, Duration until) {}

    private static final class BucketState {
        final LocalBucket localBucket = new LocalBucket();
        final Deque<PendingAdmission> waiting = new ArrayDeque<>();
        Duration lastUsed = Duration.ZERO;
        Duration notBefore = Duration.ZERO;
        Duration retry = MAX_WAIT;
        boolean requestInFlight;
        /** Somebody wanted a pass and did not wait for it. */
        boolean requestLost;

        Duration lastReport = Duration.ZERO;
        long pending;
        Duration pendingSince = Duration.ZERO;
    }

    /** Counts for the measurements: drawn at once, after a wait, or not at all. */
    public record Counts(long atOnce, long waited, long throttled, long asks) {}

    private final NodeEnvironment env;
    private final ViewSubscriptions subscriptions;
    private final LockedShard shard = new LockedShard();
    private final Map<String, BucketState> buckets = new HashMap<>();
    private TimerHandle ticking = () -> {};
    private long nextGrant;
    private long atOnce;
    private long waited;
    private long throttled;
    private long requests;

    public LocalBuckets(NodeEnvironment env, ViewSubscriptions subscriptions) {
        this.env = env;
        this.subscriptions = subscriptions;
        this.nextGrant = env.random().getAsLong() >>> 8;
    }

    public void start() {
        ticking = env.timers().every(Duration.ofMillis(25), this::onTick);
    }

    public void stop() {
        ticking.cancel();
    }

    private Duration now() {
        return env.clock().monotonicTime();
    }

    /** At once where the local bucket holds one; else a short wait for the refill in flight, bounded by the given one and by WAIT. */
    public Mono<LocalBucket.AdmissionToken> take(String bucket, Duration wait) {
        return Mono.defer(() -> shard.get(() -> {
            BucketState l = buckets.computeIfAbsent(bucket, b -> new BucketState());
            l.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> p = l.waiting.isEmpty() ? l.localBucket.take(now()) : Optional.empty();
            if (p.isPresent()) {
                atOnce++;
                refill(bucket, l);
                return Mono.just(p.get());
            }
            boolean hopeless = l.retry.compareTo(MAX_WAIT) > 0 && l.notBefore.compareTo(now()) > 0;
            if (l.waiting.size() >= MAX_WAITING || hopeless) {
                throttled++;
                return Mono.error(throttled(l));
            }
            PendingAdmission w =
                    new PendingAdmission(Sinks.one(), now().plus(wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT));
            l.waiting.add(w);
            refill(bucket, l);
            return w.sink().asMono();
        }));
    }

    /** Without any wait; for the leaving direction, where the next look tries again. */
    public Optional<LocalBucket.AdmissionToken> tryTake(String bucket) {
        return shard.get(() -> {
            BucketState l = buckets.computeIfAbsent(bucket, b -> new BucketState());
            l.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> p = l.localBucket.take(now());
            p.ifPresent(x -> atOnce++);
            l.requestLost = p.isEmpty();
            refill(bucket, l);
            return p;
        });
    }

    public boolean isValid(LocalBucket.AdmissionToken p) {
        return now().compareTo(p.until()) < 0;
    }

    public void returnToken(String bucket, LocalBucket.AdmissionToken p) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket)).ifPresent(l -> l.localBucket.returnToken(p)));
    }

    public void markSpent(String bucket, LocalBucket.AdmissionToken p) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket)).ifPresent(l -> l.localBucket.markSpent(p)));
    }

    private ServiceException throttled(BucketState l) {
        long s = Math.max(1, (l.retry.toMillis() + 999) / 1000);
        return new ServiceException(ErrorKind.THROTTLED, "The allowance is spent for now.", List.of(Long.toString(s)));
    }

    private void onTick() {
        shard.run(() -> buckets.forEach((b, l) -> {
            servePending(l);
            while (!l.waiting.isEmpty() && now().compareTo(l.waiting.peek().until()) >= 0) {
                PendingAdmission w = l.waiting.poll();
                throttled++;
                ServiceException f = throttled(l);
                shard.afterUnlock(() -> w.sink().tryEmitError(f));
            }
            if (now().minus(l.lastUsed).compareTo(IDLE_AFTER) < 0) {
                refill(b, l);
                report(b, l);
            }
        }));
    }

    private void servePending(BucketState l) {
        while (!l.waiting.isEmpty()) {
            Optional<LocalBucket.AdmissionToken> p = l.localBucket.take(now());
            if (p.isEmpty()) {
                return;
            }
            PendingAdmission w = l.waiting.poll();
            waited++;
            shard.afterUnlock(() -> w.sink().tryEmitValue(p.get()));
        }
    }

    private void refill(String bucket, BucketState l) {
        boolean need = !l.waiting.isEmpty() || l.requestLost || (l.localBucket.isLow(now()) && !l.localBucket.isTiny());
        if (!need || l.requestInFlight || now().compareTo(l.notBefore) < 0) {
            return;
        }
        Optional<String> holder =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(h -> !h.isEmpty());
        if (holder.isEmpty()) {
            l.notBefore = now().plus(RETRY_PAUSE);
            shard.afterUnlock(() -> subscriptions.pollSoon(bucket));
            return;
        }
        if (l.pending == 0 || now().minus(l.pendingSince).compareTo(TokenMessages.TOKEN_LIFETIME.dividedBy(2)) > 0) {
            l.pending = ++nextGrant;
            l.pendingSince = now();
        }
        l.requestInFlight = true;
        l.lastReport = now();
        requests++;
        Duration since = l.pendingSince;
        TokenMessages.TokenRequest ask = new TokenMessages.TokenRequest(
                bucket, l.pending, Math.max(l.waiting.size(), l.requestLost ? 1 : 0), l.localBucket.reports(now()));
        shard.afterUnlock(() -> env.rpc()
                .call(holder.get(), ask, TokenMessages.TokenResponse.class, REQUEST_TIMEOUT)
                .subscribe(
                        r -> shard.run(() -> onGranted(bucket, l, r, since)),
                        e -> shard.run(() -> {
                            l.requestInFlight = false;
                            l.notBefore = now().plus(RETRY_PAUSE);
                            // the holder may be another by now: design 8.4
                            shard.afterUnlock(() -> subscriptions.pollSoon(bucket));
                        })));
    }

    /** What is spent is told soon: the holder fills only what is not out. */
    private void report(String bucket, BucketState l) {
        Optional<String> holder =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(h -> !h.isEmpty());
        if (l.requestInFlight
                || holder.isEmpty()
                || !l.localBucket.hasUnreportedUsage()
                || now().minus(l.lastReport).compareTo(REPORT_INTERVAL) < 0) {
            return;
        }
        l.lastReport = now();
        requests++;
        TokenMessages.TokenRequest ask =
                new TokenMessages.TokenRequest(bucket, TokenMessages.NO_GRANT, 0, l.localBucket.reports(now()));
        shard.afterUnlock(() -> env.rpc()
                .call(holder.get(), ask, TokenMessages.TokenResponse.class, REQUEST_TIMEOUT)
                .subscribe(r -> {}, e -> {}));
    }

    private void onGranted(String bucket, BucketState l, TokenMessages.TokenResponse r, Duration asked) {
        l.requestInFlight = false;
        l.requestLost = false;
        l.pending = 0;
        l.localBucket.onGranted(r.grant(), r.granted(), asked, r.lifetime(), now());
        l.retry = r.granted() > 0 ? RETRY_PAUSE : r.retryAfter();
        if (r.granted() == 0) {
            Duration pause = r.retryAfter().compareTo(MAX_WAIT) > 0 ? MAX_WAIT : r.retryAfter();
            l.notBefore = now().plus(pause.compareTo(RETRY_PAUSE) < 0 ? RETRY_PAUSE : pause);
        }
        servePending(l);
        refill(bucket, l);
    }

    public Counts counts() {
        return shard.get(() -> new Counts(atOnce, waited, throttled, requests));
    }
}
