package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.rpc.RpcRequest;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** Sends requests to the leader of a message partition, which it finds among the stores of the partition. */
public final class PartitionClient {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);
    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final Map<String, String> leaderHints = new ConcurrentHashMap<>();
    private final String zone;
    private final StoreHealth health;
    private final StoreClocks clocks;

    /** Creates the forwarder of one node; it prefers stores in the given zone. */
    public PartitionClient(NodeEnvironment environment, ViewSubscriptions subscriptions, String zone) {
        this.zone = zone;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.clocks = new StoreClocks(environment);
        this.health = new StoreHealth(environment);
    }

    /**
     * Selects a partition for a message that may go to any: among those whose leader responds, preferably one led in
     * this zone, by rendezvous hashing of the given id. (docs/design.md, section 9.13)
     */
    public String selectHealthyPartition(String id) {
        Map<String, List<String>> placement =
                subscriptions.latest(ServiceNames.STORES).placement();
        Map<String, MemberLease> members =
                subscriptions.latest(ServiceNames.STORES).members();
        List<String> healthyPartitions = new ArrayList<>();
        List<String> sameZonePartitions = new ArrayList<>();
        placement.forEach((partition, replicas) -> {
            String leader = leaderHints.getOrDefault(partition, replicas.isEmpty() ? "" : replicas.get(0));
            if (!health.hasFailed(partition) && !health.isUnresponsive(leader) && members.containsKey(leader)) {
                healthyPartitions.add(partition);
                if (members.get(leader).zone().equals(zone)) {
                    sameZonePartitions.add(partition);
                }
            }
        });
        List<String> candidates = sameZonePartitions.isEmpty() ? healthyPartitions : sameZonePartitions;
        return candidates.isEmpty()
                ? ServiceNames.messagePartition("", id)
                : ServiceNames.rendezvousOwner(id, candidates).orElse(ServiceNames.messagePartition("", id));
    }

    /** The last known leader first, then the replicas in turn; unhealthy ones only if there are no others. */
    private String likelyLeader(String partition, int attemptNumber) {
        List<String> all = subscriptions.latest(ServiceNames.STORES).placement().getOrDefault(partition, List.of());
        List<String> replicas =
                all.stream().filter(replica -> !health.isUnhealthy(replica)).toList();
        String leaderHint = leaderHints.getOrDefault(partition, "");
        if (attemptNumber == 0 && !leaderHint.isEmpty() && !health.isUnhealthy(leaderHint)) {
            return leaderHint;
        }
        List<String> candidates = replicas.isEmpty() ? all : replicas;
        return candidates.isEmpty() ? "" : candidates.get(attemptNumber % candidates.size());
    }

    /**
     * Sends a request, and retries until the limit. The response is definite only if no earlier attempt had an unknown
     * outcome.
     */
    public <T> Mono<T> call(String partition, RepeatableRequest body, Class<T> type, Duration limit) {
        Duration until = environment.clock().monotonicTime().plus(limit);
        Forwarding<T> forwarding =
                new Forwarding<>(partition, store -> Mono.just(body), type, until, ResendPolicy.AFTER_UNKNOWN_OUTCOME);
        return attempt(forwarding, 0, false, "");
    }

    /** Whether requests to the partition failed recently, so that a new caller need not wait long. */
    public boolean isUnhealthy(String partition) {
        return health.hasFailed(partition);
    }

    /**
     * Like {@link #call}, but stores reject the request if it is delayed in transit beyond the limit. (docs/design.md,
     * section 9.7)
     */
    public <T> Mono<T> callWithDeadline(
            String partition,
            Function<MessageCommands.RemoteDeadline, RepeatableRequest> body,
            Class<T> type,
            Duration limit) {
        return callWithDeadline(partition, body, type, limit, ResendPolicy.AFTER_UNKNOWN_OUTCOME);
    }

    /** The same for a request that is not sent again once its outcome is unknown. */
    public <T> Mono<T> callOnceWithDeadline(
            String partition,
            Function<MessageCommands.RemoteDeadline, AtMostOnceRequest> body,
            Class<T> type,
            Duration limit) {
        return callWithDeadline(partition, body, type, limit, ResendPolicy.IF_NOT_EXECUTED);
    }

    private <T> Mono<T> callWithDeadline(
            String partition,
            Function<MessageCommands.RemoteDeadline, ? extends RpcRequest> body,
            Class<T> type,
            Duration limit,
            ResendPolicy policy) {
        Duration until = environment.clock().monotonicTime().plus(limit);
        Forwarding<T> forwarding = new Forwarding<>(
                partition,
                store -> clocks.deadline(store, until, ATTEMPT_TIMEOUT)
                        .<RpcRequest>map(body)
                        .onErrorMap(PartitionClient::notSent),
                type,
                until,
                policy);
        return attempt(forwarding, 0, false, "");
    }

    /** Sends one request to one store, which rejects it after the limit; the response may take as long as the limit. */
    public <T> Mono<T> callStore(
            String store,
            Function<MessageCommands.RemoteDeadline, AtMostOnceRequest> body,
            Class<T> type,
            Duration limit) {
        Duration until = environment.clock().monotonicTime().plus(limit);
        return clocks.deadline(store, until, ATTEMPT_TIMEOUT)
                .map(body)
                .onErrorMap(PartitionClient::notSent)
                .flatMap(atMostOnceRequest ->
                        environment.rpc().call(store, atMostOnceRequest, type, limit.plus(ATTEMPT_TIMEOUT)))
                .doOnError(e -> clocks.forget(store));
    }

    /** If the request for the clock had an unknown outcome, nothing was sent of the request itself. */
    private static ServiceException notSent(Throwable e) {
        ServiceException failure = ServiceException.of(e);
        return failure.kind().definite() ? failure : new UnreachableException(failure.getMessage());
    }

    /** What all attempts have in common; the body is created for the store that receives it. */
    private record Forwarding<T>(
            String partition,
            Function<String, Mono<RpcRequest>> body,
            Class<T> type,
            Duration until,
            ResendPolicy policy) {}

    private <T> Mono<T> attempt(Forwarding<T> forwarding, int attemptNumber, boolean unknown, String hint) {
        String partition = forwarding.partition();
        String store = hint.isEmpty() ? likelyLeader(partition, attemptNumber) : hint;
        if (store.isEmpty()) {
            return Mono.error(new UnavailableException("No store is placed for the part " + partition + "."));
        }
        return forwarding
                .body()
                .apply(store)
                .flatMap(rpcRequest -> health.tracked(
                        store, environment.rpc().call(store, rpcRequest, forwarding.type(), ATTEMPT_TIMEOUT)))
                .doOnNext(response -> {
                    leaderHints.put(partition, store);
                    health.onSuccess(partition, store);
                })
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    leaderHints.remove(partition, store);
                    clocks.forget(store);
                    health.onFailure(partition, store, failure);
                    boolean nowUnknown = unknown || !failure.kind().definite();
                    if (!forwarding.policy().allows(failure.kind())
                            || environment.clock().monotonicTime().compareTo(forwarding.until()) >= 0) {
                        return Mono.error(finalFailure(failure, nowUnknown));
                    }
                    String next = failure instanceof NotLeaderException notLeader
                            ? notLeader.leader().orElse("")
                            : "";
                    Mono<T> retry = Mono.defer(() -> attempt(forwarding, attemptNumber + 1, nowUnknown, next));
                    return next.isEmpty()
                            ? Delays.delay(environment.timers(), RETRY_PAUSE).then(retry)
                            : retry;
                });
    }

    /**
     * A definite refusal after an attempt with an unknown outcome says nothing about that attempt. (docs/design.md,
     * section 9.6)
     */
    private static ServiceException finalFailure(ServiceException last, boolean unknown) {
        if (unknown) {
            return new OutcomeUnknownException("It is not known whether this was taken; ask with the same id.");
        }
        return last.kind() == ErrorKind.NOT_OWNER
                        || last.kind() == ErrorKind.UNREACHABLE
                        || last.kind() == ErrorKind.STOPPING
                        || last.kind() == ErrorKind.EXPIRED
                ? new UnavailableException("The store of this message has no owner now.")
                : last;
    }
}
