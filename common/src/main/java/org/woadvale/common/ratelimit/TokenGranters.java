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

/** The admission node: holds the aggregate buckets that the ring draws to it, each by lease and term. design 8.4 */
public final class TokenGranters {
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

    public void start() {
        ticking = environment.timers().every(Duration.ofMillis(200), this::onTick);
    }

    public void stop() {
        ticking.cancel();
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    private void onTick() {
        Set<String> ring = subscriptions.latest(ServiceNames.INTAKES).members().keySet();
        for (String b : buckets.get()) {
            boolean mine = ServiceNames.rendezvousOwner(b, ring)
                    .filter(environment.self()::equals)
                    .isPresent();
            boolean deputy = !mine && preferredOwner(b, ring);
            shard.run(() -> acquireOrRelease(b, mine, deputy));
        }
        shard.run(() -> List.copyOf(owned.keySet()).stream()
                .filter(b -> !buckets.get().contains(b))
                .forEach(this::release));
    }

    /** Stands once the first of the ring has let its lease lapse; the ring itself is told of that later. design 8.4 */
    private boolean preferredOwner(String b, Set<String> ring) {
        SingletonLease singleton = subscriptions.latest(b).singleton();
        Optional<String> first = ServiceNames.rendezvousOwner(b, ring);
        Set<String> rest = new TreeSet<>(ring);
        first.ifPresent(rest::remove);
        return first.filter(singleton.owner()::equals).isPresent()
                && ServiceNames.rendezvousOwner(b, rest)
                        .filter(environment.self()::equals)
                        .isPresent();
    }

    private void acquireOrRelease(String b, boolean mine, boolean deputy) {
        Optional<OwnedBucket> h = Optional.ofNullable(owned.get(b));
        if (h.isPresent()) {
            OwnedBucket owned = h.get();
            owned.notPreferredSince =
                    mine ? Duration.ZERO : owned.notPreferredSince.isZero() ? now() : owned.notPreferredSince;
            if (draining || (!mine && now().minus(owned.notPreferredSince).compareTo(STABLE_AFTER) > 0)) {
                release(b);
            } else {
                requestLease(b, owned.bucket.term());
            }
        } else if ((mine || deputy) && !draining) {
            requestLease(b, 0);
        }
    }

    private void requestLease(String b, long term) {
        if (!requesting.add(b)) {
            return;
        }
        Duration sent = now();
        shard.afterUnlock(() -> core.ask(
                        ServiceNames.controlPart(b),
                        new ControlMessages.SingletonLeaseRequest(
                                b, environment.self(), term, term == 0 ? ControlMessages.newRequestId() : 0),
                        ControlMessages.SingletonLeaseResponse.class)
                .doFinally(signal ->
                        environment.timers().after(Duration.ofMillis(250), () -> shard.run(() -> requesting.remove(b))))
                .subscribe(response -> shard.run(() -> onLeaseResponse(b, response, sent)), e -> {}));
    }

    private void onLeaseResponse(String b, ControlMessages.SingletonLeaseResponse response, Duration sent) {
        if (!response.granted() || draining) {
            owned.remove(b);
            return;
        }
        Duration end = sent.plus(ReplicationTiming.defaults().leaderLease());
        OwnedBucket ownedBucket = owned.get(b);
        if (ownedBucket == null || ownedBucket.bucket.term() != response.lease().term()) {
            Optional<RateLimit> a = limits.apply(b);
            if (a.isEmpty()) {
                return;
            }
            ownedBucket = new OwnedBucket();
            ownedBucket.bucket = new AggregateBucket(
                    response.lease().term(),
                    response.lease().level(),
                    response.lease().clear(),
                    a.get(),
                    now());
            owned.put(b, ownedBucket);
            LOG.info("Acquired {} in term {}.", b, response.lease().term());
        }
        ownedBucket.leaseEnd = end;
    }

    /** The old holder stops first; then the level goes to the core for the next one. */
    private void release(String b) {
        OwnedBucket ownedBucket = owned.remove(b);
        if (ownedBucket == null || ownedBucket.leaseEnd.compareTo(now()) <= 0) {
            return;
        }
        ControlMessages.ReleaseSingletonRequest request = new ControlMessages.ReleaseSingletonRequest(
                b, environment.self(), ownedBucket.bucket.term(), ownedBucket.bucket.level(now()));
        LOG.info("Released {} with {} tokens left.", b, request.level());
        shard.afterUnlock(() -> core.ask(ServiceNames.controlPart(b), request, ControlMessages.UpdateResult.class)
                .subscribe(result -> {}, e -> {}));
    }

    public void drain() {
        shard.run(() -> {
            draining = true;
            List.copyOf(owned.keySet()).forEach(this::release);
        });
    }

    public Mono<TokenMessages.TokenResponse> onTokenRequest(String asker, TokenMessages.TokenRequest request) {
        Optional<RateLimit> allowance = limits.apply(request.bucket());
        return Mono.defer(() -> shard.get(() -> {
            OwnedBucket ownedBucket = owned.get(request.bucket());
            if (ownedBucket == null || now().compareTo(ownedBucket.leaseEnd) >= 0) {
                return Mono.error(new NotLeaderException("This node does not hold " + request.bucket() + "."));
            }
            if (allowance.isEmpty()) {
                return Mono.error(new StaleViewException("The layout here is not proven fresh."));
            }
            ownedBucket.bucket.change(allowance.get(), now());
            TokenMessages.TokenResponse response =
                    ownedBucket.bucket.grant(asker, request, ownedBucket.leaseEnd, now());
            requests++;
            granted += response.granted();
            return Mono.just(response);
        }));
    }

    public List<String> ownedCount() {
        return shard.get(() -> new ArrayList<>(owned.keySet()));
    }

    public long requestCount() {
        return shard.get(() -> requests);
    }

    public long grantedCount() {
        return shard.get(() -> granted);
    }
}
