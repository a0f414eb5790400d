package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.ThrottledException;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * All local buckets of a node: asks ahead, and lets a few wait shortly on an empty one. (docs/design.md, section 8.3)
 */
public final class LocalBuckets {
    private static final Duration TICK = Duration.ofMillis(25);
    private static final long MILLIS_PER_SECOND = 1000;
    /** Ids of grants begin at random and have room to rise. */
    private static final int GRANT_ID_SHIFT = 8;

    /** A request waits no longer for a token. */
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
        /** Somebody wanted a token and did not wait for it. */
        boolean requestLost;

        Duration lastReport = Duration.ZERO;
        long pending;
        Duration pendingSince = Duration.ZERO;
    }

    /** Counts for the measurements: drawn at once, after a wait, or not at all. */
    public record Counts(long atOnce, long waited, long throttled, long asks) {}

    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final LockedShard shard = new LockedShard();
    private final Map<String, BucketState> buckets = new HashMap<>();
    private TimerHandle ticking = () -> {};
    private long nextGrant;
    private long atOnce;
    private long waited;
    private long throttled;
    private long requests;

    /** Buckets of one node. */
    public LocalBuckets(NodeEnvironment environment, ViewSubscriptions subscriptions) {
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.nextGrant = environment.random().getAsLong() >>> GRANT_ID_SHIFT;
    }

    /** Asks ahead and reports until {@link #stop}. */
    public void start() {
        ticking = environment.timers().every(TICK, this::onTick);
    }

    /** Asks no more. */
    public void stop() {
        ticking.cancel();
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /**
     * At once where the local bucket holds one; else a short wait for the refill in flight, bounded by the given one
     * and by WAIT.
     */
    public Mono<LocalBucket.AdmissionToken> take(String bucket, Duration wait) {
        return Mono.defer(() -> shard.get(() -> {
            BucketState bucketState = buckets.computeIfAbsent(bucket, bucketName -> new BucketState());
            bucketState.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> token =
                    bucketState.waiting.isEmpty() ? bucketState.localBucket.take(now()) : Optional.empty();
            if (token.isPresent()) {
                atOnce++;
                refill(bucket, bucketState);
                return Mono.just(token.get());
            }
            boolean hopeless = bucketState.retry.compareTo(MAX_WAIT) > 0 && bucketState.notBefore.compareTo(now()) > 0;
            if (bucketState.waiting.size() >= MAX_WAITING || hopeless) {
                throttled++;
                return Mono.error(throttled(bucketState));
            }
            PendingAdmission pending =
                    new PendingAdmission(Sinks.one(), now().plus(wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT));
            bucketState.waiting.add(pending);
            refill(bucket, bucketState);
            return pending.sink().asMono();
        }));
    }

    /** Without any wait; for the leaving direction, where the next look tries again. */
    public Optional<LocalBucket.AdmissionToken> tryTake(String bucket) {
        return shard.get(() -> {
            BucketState bucketState = buckets.computeIfAbsent(bucket, bucketName -> new BucketState());
            bucketState.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> optional = bucketState.localBucket.take(now());
            optional.ifPresent(token -> atOnce++);
            bucketState.requestLost = optional.isEmpty();
            refill(bucket, bucketState);
            return optional;
        });
    }

    /** Whether a token may still be spent. */
    public boolean isValid(LocalBucket.AdmissionToken token) {
        return now().compareTo(token.until()) < 0;
    }

    /** A token that was not spent after all. */
    public void returnToken(String bucket, LocalBucket.AdmissionToken token) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket))
                .ifPresent(bucketState -> bucketState.localBucket.returnToken(token)));
    }

    /** A token that was spent, or that may have been. */
    public void markSpent(String bucket, LocalBucket.AdmissionToken token) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket))
                .ifPresent(bucketState -> bucketState.localBucket.markSpent(token)));
    }

    private ServiceException throttled(BucketState bucket) {
        long retryAfterSeconds = Math.max(1, (bucket.retry.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
        return new ThrottledException("The rate limit is reached for now.", retryAfterSeconds);
    }

    private void onTick() {
        shard.run(() -> buckets.forEach((bucketName, bucket) -> {
            servePending(bucket);
            while (!bucket.waiting.isEmpty()
                    && now().compareTo(bucket.waiting.peek().until()) >= 0) {
                PendingAdmission pending = bucket.waiting.poll();
                throttled++;
                ServiceException failure = throttled(bucket);
                shard.afterUnlock(() -> pending.sink().tryEmitError(failure));
            }
            if (now().minus(bucket.lastUsed).compareTo(IDLE_AFTER) < 0) {
                refill(bucketName, bucket);
                report(bucketName, bucket);
            }
        }));
    }

    private void servePending(BucketState bucket) {
        while (!bucket.waiting.isEmpty()) {
            Optional<LocalBucket.AdmissionToken> token = bucket.localBucket.take(now());
            if (token.isEmpty()) {
                return;
            }
            PendingAdmission pending = bucket.waiting.poll();
            waited++;
            shard.afterUnlock(() -> pending.sink().tryEmitValue(token.get()));
        }
    }

    private void refill(String bucket, BucketState bucketState) {
        boolean need = !bucketState.waiting.isEmpty()
                || bucketState.requestLost
                || (bucketState.localBucket.isLow(now()) && !bucketState.localBucket.hasSingleTokenBatches());
        if (!need || bucketState.requestInFlight || now().compareTo(bucketState.notBefore) < 0) {
            return;
        }
        Optional<String> owner =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(h -> !h.isEmpty());
        if (owner.isEmpty()) {
            bucketState.notBefore = now().plus(RETRY_PAUSE);
            shard.afterUnlock(() -> subscriptions.pollEarly(bucket));
            return;
        }
        if (bucketState.pending == 0
                || now().minus(bucketState.pendingSince).compareTo(TokenMessages.TOKEN_LIFETIME.dividedBy(2)) > 0) {
            bucketState.pending = ++nextGrant;
            bucketState.pendingSince = now();
        }
        bucketState.requestInFlight = true;
        bucketState.lastReport = now();
        requests++;
        Duration since = bucketState.pendingSince;
        TokenMessages.TokenRequest request = new TokenMessages.TokenRequest(
                bucket,
                bucketState.pending,
                Math.max(bucketState.waiting.size(), bucketState.requestLost ? 1 : 0),
                bucketState.localBucket.reports(now()));
        shard.afterUnlock(() -> environment
                .rpc()
                .call(owner.get(), request, TokenMessages.TokenResponse.class, REQUEST_TIMEOUT)
                .subscribe(
                        response -> shard.run(() -> onGranted(bucket, bucketState, response, since)),
                        e -> shard.run(() -> {
                            bucketState.requestInFlight = false;
                            bucketState.notBefore = now().plus(RETRY_PAUSE);
                            // the owner may be another by now
                            shard.afterUnlock(() -> subscriptions.pollEarly(bucket));
                        })));
    }

    /** What was spent is reported soon: the owner fills up only what is not outstanding. */
    private void report(String bucket, BucketState bucketState) {
        Optional<String> owner =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(h -> !h.isEmpty());
        if (bucketState.requestInFlight
                || owner.isEmpty()
                || !bucketState.localBucket.hasUnreportedUsage()
                || now().minus(bucketState.lastReport).compareTo(REPORT_INTERVAL) < 0) {
            return;
        }
        bucketState.lastReport = now();
        requests++;
        TokenMessages.TokenRequest request = new TokenMessages.TokenRequest(
                bucket, TokenMessages.NO_GRANT, 0, bucketState.localBucket.reports(now()));
        shard.afterUnlock(() -> environment
                .rpc()
                .call(owner.get(), request, TokenMessages.TokenResponse.class, REQUEST_TIMEOUT)
                .subscribe(response -> {}, e -> {}));
    }

    private void onGranted(
            String bucket, BucketState bucketState, TokenMessages.TokenResponse response, Duration asked) {
        bucketState.requestInFlight = false;
        bucketState.requestLost = false;
        bucketState.pending = 0;
        bucketState.localBucket.onGranted(response.grant(), response.granted(), asked, response.lifetime(), now());
        bucketState.retry = response.granted() > 0 ? RETRY_PAUSE : response.retryAfter();
        if (response.granted() == 0) {
            Duration pause = response.retryAfter().compareTo(MAX_WAIT) > 0 ? MAX_WAIT : response.retryAfter();
            bucketState.notBefore = now().plus(pause.compareTo(RETRY_PAUSE) < 0 ? RETRY_PAUSE : pause);
        }
        servePending(bucketState);
        refill(bucket, bucketState);
    }

    /** What came of the requests so far. */
    public Counts counts() {
        return shard.get(() -> new Counts(atOnce, waited, throttled, requests));
    }
}
