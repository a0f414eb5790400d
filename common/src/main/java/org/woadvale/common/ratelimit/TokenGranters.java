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
 * The aggregate buckets that this node owns, each under a singleton lease. Rendezvous hashing over the intakes selects
 * the preferred owner of a bucket. (docs/design.md, section 8.4)
 */
public final class TokenGranters {
    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
    private static final Logger LOG = LogManager.getLogger(TokenGranters.class);
    /** How long another intake must be the preferred owner before this node releases a bucket. */
    private static final Duration RELEASE_DELAY = Duration.ofSeconds(3);

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
    private final Set<String> leaseRequests = new TreeSet<>();
    private TimerHandle tickTimer = () -> {};
    private boolean draining;
    private long granted;
    private long requests;

    /**
     * Creates the aggregate buckets of one node.
     *
     * @param limits returns the limit of a bucket
     * @param buckets returns the names of all buckets
     */
    public TokenGranters(
            NodeEnvironment environment,
            CoreClient core,
            ViewSubscriptions subscriptions,
            Function<String, Optional<RateLimit>> limits,
            Supplier<Set<String>> buckets) {
        this.environment = environment;
        this.core = core;
        this.subscriptions = subscriptions;
        this.limits = limits;
        this.buckets = buckets;
    }

    /** Acquires and releases leases until {@link #stop}. */
    public void start() {
        tickTimer = environment.timers().every(TICK, this::onTick);
    }

    /** Stops acquiring and renewing leases. */
    public void stop() {
        tickTimer.cancel();
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    private void onTick() {
        Set<String> intakes =
                subscriptions.latest(ServiceNames.INTAKES).members().keySet();
        for (String bucketName : buckets.get()) {
            boolean preferred = ServiceNames.rendezvousOwner(bucketName, intakes)
                    .filter(environment.self()::equals)
                    .isPresent();
            boolean substitute = !preferred && mayReplacePreferredOwner(bucketName, intakes);
            shard.run(() -> acquireOrRelease(bucketName, preferred, substitute));
        }
        shard.run(() -> List.copyOf(owned.keySet()).stream()
                .filter(bucketName -> !buckets.get().contains(bucketName))
                .forEach(this::release));
    }

    /**
     * Whether this node is the second choice for a bucket whose lease the first choice still holds. It requests the lease
     * as well, to acquire it as soon as it expires; the list of intakes loses the first choice only later.
     * (docs/design.md, section 8.4)
     */
    private boolean mayReplacePreferredOwner(String bucketName, Set<String> intakes) {
        SingletonLease singleton = subscriptions.latest(bucketName).singleton();
        Optional<String> first = ServiceNames.rendezvousOwner(bucketName, intakes);
        Set<String> otherIntakes = new TreeSet<>(intakes);
        first.ifPresent(otherIntakes::remove);
        return first.filter(singleton.owner()::equals).isPresent()
                && ServiceNames.rendezvousOwner(bucketName, otherIntakes)
                        .filter(environment.self()::equals)
                        .isPresent();
    }

    private void acquireOrRelease(String bucketName, boolean preferred, boolean substitute) {
        Optional<OwnedBucket> ownedBucket = Optional.ofNullable(owned.get(bucketName));
        if (ownedBucket.isPresent()) {
            OwnedBucket owned = ownedBucket.get();
            owned.notPreferredSince =
                    preferred ? Duration.ZERO : owned.notPreferredSince.isZero() ? now() : owned.notPreferredSince;
            if (draining || (!preferred && now().minus(owned.notPreferredSince).compareTo(RELEASE_DELAY) > 0)) {
                release(bucketName);
            } else {
                requestLease(bucketName, owned.bucket.term());
            }
        } else if ((preferred || substitute) && !draining) {
            requestLease(bucketName, 0);
        }
    }

    private void requestLease(String bucketName, long term) {
        if (!leaseRequests.add(bucketName)) {
            return;
        }
        Duration sent = now();
        shard.afterUnlock(() -> core.ask(
                        ServiceNames.controlPartition(bucketName),
                        new ControlMessages.SingletonLeaseRequest(
                                bucketName, environment.self(), term, term == 0 ? ControlMessages.newRequestId() : 0),
                        ControlMessages.SingletonLeaseResponse.class)
                .doFinally(signal -> environment
                        .timers()
                        .after(RETRY_PAUSE, () -> shard.run(() -> leaseRequests.remove(bucketName))))
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

    /** Stops granting first, then releases the lease with the current level for the next owner. */
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

    /** Releases all leases, so that other nodes can take over at once. */
    public void drain() {
        shard.run(() -> {
            draining = true;
            List.copyOf(owned.keySet()).forEach(this::release);
        });
    }

    /** Grants tokens of a bucket that this node owns; fails with NOT_OWNER for other buckets. */
    public Mono<TokenMessages.TokenResponse> onTokenRequest(String requester, TokenMessages.TokenRequest request) {
        Optional<RateLimit> limit = limits.apply(request.bucket());
        return Mono.defer(() -> shard.get(() -> {
            OwnedBucket ownedBucket = owned.get(request.bucket());
            if (ownedBucket == null || now().compareTo(ownedBucket.leaseEnd) >= 0) {
                return Mono.error(new NotLeaderException("This node does not hold " + request.bucket() + "."));
            }
            if (limit.isEmpty()) {
                return Mono.error(new StaleViewException("The layout here is not proven fresh."));
            }
            ownedBucket.bucket.setLimit(limit.get(), now());
            TokenMessages.TokenResponse response =
                    ownedBucket.bucket.grant(requester, request, ownedBucket.leaseEnd, now());
            requests++;
            granted += response.granted();
            return Mono.just(response);
        }));
    }

    /** Returns the names of the buckets that this node owns. */
    public List<String> ownedBuckets() {
        return shard.get(() -> new ArrayList<>(owned.keySet()));
    }

    /** Returns the number of answered requests. */
    public long requestCount() {
        return shard.get(() -> requests);
    }

    /** Returns the number of granted tokens. */
    public long grantedCount() {
        return shard.get(() -> granted);
    }
}
