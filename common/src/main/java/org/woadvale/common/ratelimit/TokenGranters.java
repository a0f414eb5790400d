package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.StaleViewException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.SingletonLease;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/**
 * The admission node: holds the aggregate buckets that the ring draws to it, each by lease and term. (docs/design.md,
 * section 8.4)
 */
public final class TokenGranters {
    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
    private static final Logger LOG = LogManager.getLogger(TokenGranters.class);
    private static final Duration STABLE_AFTER = Duration.ofSeconds(3);

    private static final class OwnedBucket {
        AggregateBucket bucket;
        Duration leaseEnd;
        Duration notPreferredSince = Duration.ZERO;
        boolean releasing;
    }

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final Function<String, Optional<RateLimit>> limits;
    private final Supplier<Set<String>> buckets;
    private final LockedShard shard = new LockedShard();
    private final Map<String, OwnedBucket> owned = new HashMap<>();
    private final Set<String> requesting = new TreeSet<>();
    private TimerHandle ticking = () -> {};
    private boolean draining;
    private long granted;
    private long requests;

    /** Aggregate buckets of one node; the functions tell which buckets there are and their limits. */
    public TokenGranters(
            NodeEnvironment environment,
            CoreClient core,
            ViewSubscriptions subscriptions,
            Function<String, Optional<RateLimit>> allowances,
            Supplier<Set<String>> buckets) {
        this.environment = environment;
        this.core = core;
        this.subscriptions = subscriptions;
        this.limits = allowances;
        this.buckets = buckets;
    }

    /** Acquires and releases leases until {@link #stop}. */
    public void start() {
        ticking = environment.timers().every(TICK, this::onTick);
    }

    /** Grants no more. */
    public void stop() {
        ticking.cancel();
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    private void onTick() {
        Set<String> ring = subscriptions.latest(ServiceNames.INTAKES).members().keySet();
        for (String bucketName : buckets.get()) {
            boolean mine = ServiceNames.rendezvousOwner(bucketName, ring)
                    .filter(environment.self()::equals)
                    .isPresent();
            boolean deputy = !mine && preferredOwner(bucketName, ring);
            shard.run(() -> acquireOrRelease(bucketName, mine, deputy));
        }
        shard.run(() -> List.copyOf(owned.keySet()).stream()
                .filter(bucketName -> !buckets.get().contains(bucketName))
                .forEach(this::release));
    }

    /**
     * Also the second of the ring may acquire, once the first has let its lease expire; the ring itself learns of that
     * later. (docs/design.md, section 8.4)
     */
    private boolean preferredOwner(String bucketName, Set<String> ring) {
        SingletonLease singleton = subscriptions.latest(bucketName).singleton();
        Optional<String> first = ServiceNames.rendezvousOwner(bucketName, ring);
        Set<String> rest = new TreeSet<>(ring);
        first.ifPresent(rest::remove);
        return first.filter(singleton.owner()::equals).isPresent()
                && ServiceNames.rendezvousOwner(bucketName, rest)
                        .filter(environment.self()::equals)
                        .isPresent();
    }

    private void acquireOrRelease(String bucketName, boolean mine, boolean deputy) {
        Optional<OwnedBucket> ownedBucket = Optional.ofNullable(owned.get(bucketName));
        if (ownedBucket.isPresent()) {
            OwnedBucket owned = ownedBucket.get();
            owned.notPreferredSince =
                    mine ? Duration.ZERO : owned.notPreferredSince.isZero() ? now() : owned.notPreferredSince;
            if (draining || (!mine && now().minus(owned.notPreferredSince).compareTo(STABLE_AFTER) > 0)) {
                release(bucketName);
            } else {
                requestLease(bucketName, owned.bucket.term());
            }
        } else if ((mine || deputy) && !draining) {
            requestLease(bucketName, 0);
        }
    }

    private void requestLease(String bucketName, long term) {
        if (!requesting.add(bucketName)) {
            return;
        }
        Duration sent = now();
        shard.afterUnlock(() -> core.ask(
                        ServiceNames.controlPartition(bucketName),
                        new ControlMessages.SingletonLeaseRequest(
                                bucketName, environment.self(), term, term == 0 ? ControlMessages.newRequestId() : 0),
                        ControlMessages.SingletonLeaseResponse.class)
                .doFinally(signal ->
                        environment.timers().after(RETRY_PAUSE, () -> shard.run(() -> requesting.remove(bucketName))))
                .subscribe(response -> shard.run(() -> onLeaseResponse(bucketName, response, sent)), e -> {}));
    }

    private void onLeaseResponse(String bucketName, ControlMessages.SingletonLeaseResponse response, Duration sent) {
        if (!response.granted() || draining) {
            owned.remove(bucketName);
            return;
        }
        Duration end = sent.plus(ReplicationTiming.defaults().leaderLease());
        OwnedBucket ownedBucket = owned.get(bucketName);
        if (ownedBucket == null || ownedBucket.bucket.term() != response.lease().term()) {
            Optional<RateLimit> limit = limits.apply(bucketName);
            if (limit.isEmpty()) {
                return;
            }
            ownedBucket = new OwnedBucket();
            ownedBucket.bucket = new AggregateBucket(
                    response.lease().term(),
                    response.lease().level(),
                    response.lease().clear(),
                    limit.get(),
                    now());
            owned.put(bucketName, ownedBucket);
            LOG.info("Acquired {} in term {}.", bucketName, response.lease().term());
        }
        ownedBucket.leaseEnd = end;
    }

    /** The former owner stops first; then the level goes to the core for the next one. */
    private void release(String bucketName) {
        OwnedBucket ownedBucket = owned.remove(bucketName);
        if (ownedBucket == null || ownedBucket.leaseEnd.compareTo(now()) <= 0) {
            return;
        }
        ControlMessages.ReleaseSingletonRequest request = new ControlMessages.ReleaseSingletonRequest(
                bucketName, environment.self(), ownedBucket.bucket.term(), ownedBucket.bucket.level(now()));
        LOG.info("Released {} with {} tokens left.", bucketName, request.level());
        shard.afterUnlock(
                () -> core.ask(ServiceNames.controlPartition(bucketName), request, ControlMessages.UpdateResult.class)
                        .subscribe(result -> {}, e -> {}));
    }

    /** Releases all leases, so that other nodes grant at once. */
    public void drain() {
        shard.run(() -> {
            draining = true;
            List.copyOf(owned.keySet()).forEach(this::release);
        });
    }

    /** Grants tokens of a bucket that this node owns; fails with NOT_OWNER for others. */
    public Mono<TokenMessages.TokenResponse> onTokenRequest(String requester, TokenMessages.TokenRequest request) {
        Optional<RateLimit> allowance = limits.apply(request.bucket());
        return Mono.defer(() -> shard.get(() -> {
            OwnedBucket ownedBucket = owned.get(request.bucket());
            if (ownedBucket == null || now().compareTo(ownedBucket.leaseEnd) >= 0) {
                return Mono.error(new NotLeaderException("This node does not hold " + request.bucket() + "."));
            }
            if (allowance.isEmpty()) {
                return Mono.error(new StaleViewException("The layout here is not proven fresh."));
            }
            ownedBucket.bucket.setLimit(allowance.get(), now());
            TokenMessages.TokenResponse response =
                    ownedBucket.bucket.grant(requester, request, ownedBucket.leaseEnd, now());
            requests++;
            granted += response.granted();
            return Mono.just(response);
        }));
    }

    /** The buckets that this node owns. */
    public List<String> ownedBuckets() {
        return shard.get(() -> new ArrayList<>(owned.keySet()));
    }

    /** Requests that were answered so far. */
    public long requestCount() {
        return shard.get(() -> requests);
    }

    /** Tokens that were granted so far. */
    public long grantedCount() {
        return shard.get(() -> granted);
    }
}
