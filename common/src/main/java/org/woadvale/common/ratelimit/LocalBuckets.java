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
 * All local buckets of a node. Requests tokens ahead of need and lets a bounded number of callers wait briefly on an
 * empty bucket. (docs/design.md, section 8.3)
 */
public final class LocalBuckets {
    private static final Duration TICK = Duration.ofMillis(25);
    private static final long MILLIS_PER_SECOND = 1000;
    /** Grant ids start at a random number, shifted so that they can increase without overflow. */
    private static final int GRANT_ID_SHIFT = 8;

    /** Maximum time that a caller waits for a token. */
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
        Duration noRequestBefore = Duration.ZERO;
        Duration retryAfter = MAX_WAIT;
        boolean requestInFlight;
        /** Whether a caller found no token and did not wait for one. */
        boolean unmetDemand;

        Duration lastReport = Duration.ZERO;
        long pendingGrant;
        Duration pendingSince = Duration.ZERO;
    }

    /**
     * Numbers of tokens taken at once and after a wait, of callers that were throttled, and of requests to the owners of
     * buckets.
     */
    public record Counts(long atOnce, long waited, long throttled, long asks) {}

    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final LockedShard shard = new LockedShard();
    private final Map<String, BucketState> buckets = new HashMap<>();
    private TimerHandle tickTimer = () -> {};
    private long nextGrant;
    private long atOnce;
    private long waited;
    private long throttled;
    private long requests;

    /** Creates the local buckets of one node. */
    public LocalBuckets(NodeEnvironment environment, ViewSubscriptions subscriptions) {
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.nextGrant = environment.random().getAsLong() >>> GRANT_ID_SHIFT;
    }

    /** Requests tokens and reports their usage until {@link #stop}. */
    public void start() {
        tickTimer = environment.timers().every(TICK, this::onTick);
    }

    /** Stops requesting tokens. */
    public void stop() {
        tickTimer.cancel();
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /**
     * Takes a token: at once if the local bucket has one; otherwise waits for a refill, for at most the given time and
     * {@link #MAX_WAIT}.
     */
    public Mono<LocalBucket.AdmissionToken> take(String bucket, Duration wait) {
        return Mono.defer(() -> shard.get(() -> {
            BucketState bucketState = buckets.computeIfAbsent(bucket, name -> new BucketState());
            bucketState.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> token =
                    bucketState.waiting.isEmpty() ? bucketState.localBucket.take(now()) : Optional.empty();
            if (token.isPresent()) {
                atOnce++;
                refill(bucket, bucketState);
                return Mono.just(token.get());
            }
            boolean refillIsTooLate =
                    bucketState.retryAfter.compareTo(MAX_WAIT) > 0 && bucketState.noRequestBefore.compareTo(now()) > 0;
            if (bucketState.waiting.size() >= MAX_WAITING || refillIsTooLate) {
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

    /** Takes a token without waiting; for deliveries, where the next dispatch round tries again. */
    public Optional<LocalBucket.AdmissionToken> tryTake(String bucket) {
        return shard.get(() -> {
            BucketState bucketState = buckets.computeIfAbsent(bucket, name -> new BucketState());
            bucketState.lastUsed = now();
            Optional<LocalBucket.AdmissionToken> token = bucketState.localBucket.take(now());
            token.ifPresent(taken -> atOnce++);
            bucketState.unmetDemand = token.isEmpty();
            refill(bucket, bucketState);
            return token;
        });
    }

    /** Whether a token has not expired yet. */
    public boolean isValid(LocalBucket.AdmissionToken token) {
        return now().compareTo(token.until()) < 0;
    }

    /** Returns a token that was not spent. */
    public void returnToken(String bucket, LocalBucket.AdmissionToken token) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket))
                .ifPresent(bucketState -> bucketState.localBucket.returnToken(token)));
    }

    /** Marks a token as spent; also for one that may have been spent. */
    public void markSpent(String bucket, LocalBucket.AdmissionToken token) {
        shard.run(() -> Optional.ofNullable(buckets.get(bucket))
                .ifPresent(bucketState -> bucketState.localBucket.markSpent(token)));
    }

    private ServiceException throttled(BucketState bucket) {
        long retryAfterSeconds =
                Math.max(1, (bucket.retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
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
        boolean needsTokens = !bucketState.waiting.isEmpty()
                || bucketState.unmetDemand
                || (bucketState.localBucket.isLow(now()) && !bucketState.localBucket.hasSingleTokenBatches());
        if (!needsTokens || bucketState.requestInFlight || now().compareTo(bucketState.noRequestBefore) < 0) {
            return;
        }
        Optional<String> owner =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(node -> !node.isEmpty());
        if (owner.isEmpty()) {
            bucketState.noRequestBefore = now().plus(RETRY_PAUSE);
            shard.afterUnlock(() -> subscriptions.pollEarly(bucket));
            return;
        }
        if (bucketState.pendingGrant == 0
                || now().minus(bucketState.pendingSince).compareTo(TokenMessages.TOKEN_LIFETIME.dividedBy(2)) > 0) {
            bucketState.pendingGrant = ++nextGrant;
            bucketState.pendingSince = now();
        }
        bucketState.requestInFlight = true;
        bucketState.lastReport = now();
        requests++;
        Duration requestedAt = bucketState.pendingSince;
        TokenMessages.TokenRequest request = new TokenMessages.TokenRequest(
                bucket,
                bucketState.pendingGrant,
                Math.max(bucketState.waiting.size(), bucketState.unmetDemand ? 1 : 0),
                bucketState.localBucket.reports(now()));
        shard.afterUnlock(() -> environment
                .rpc()
                .call(owner.get(), request, TokenMessages.TokenResponse.class, REQUEST_TIMEOUT)
                .subscribe(
                        response -> shard.run(() -> onGranted(bucket, bucketState, response, requestedAt)),
                        e -> shard.run(() -> {
                            bucketState.requestInFlight = false;
                            bucketState.noRequestBefore = now().plus(RETRY_PAUSE);
                            // the owner may have changed
                            shard.afterUnlock(() -> subscriptions.pollEarly(bucket));
                        })));
    }

    /** Reports usage at short intervals, as the owner does not refill tokens that count as outstanding. */
    private void report(String bucket, BucketState bucketState) {
        Optional<String> owner =
                Optional.of(subscriptions.latest(bucket).singleton().owner()).filter(node -> !node.isEmpty());
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
            String bucket, BucketState bucketState, TokenMessages.TokenResponse response, Duration requestedAt) {
        bucketState.requestInFlight = false;
        bucketState.unmetDemand = false;
        bucketState.pendingGrant = 0;
        bucketState.localBucket.onGranted(
                response.grant(), response.granted(), requestedAt, response.lifetime(), now());
        bucketState.retryAfter = response.granted() > 0 ? RETRY_PAUSE : response.retryAfter();
        if (response.granted() == 0) {
            Duration pause = response.retryAfter().compareTo(MAX_WAIT) > 0 ? MAX_WAIT : response.retryAfter();
            bucketState.noRequestBefore = now().plus(pause.compareTo(RETRY_PAUSE) < 0 ? RETRY_PAUSE : pause);
        }
        servePending(bucketState);
        refill(bucket, bucketState);
    }

    /** Returns the counts since the start. */
    public Counts counts() {
        return shard.get(() -> new Counts(atOnce, waited, throttled, requests));
    }
}
