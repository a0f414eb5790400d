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

/** Finds the leader of a message partition among its stores and asks it. */
public final class SubmitForwarder {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);
    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final Map<String, String> leaderHints = new ConcurrentHashMap<>();
    private final String zone;
    private final StoreHealth health;
    private final StoreClocks clocks;

    /** Forwards from one node, by preference within its zone. */
    public SubmitForwarder(NodeEnvironment environment, ViewSubscriptions subscriptions, String zone) {
        this.zone = zone;
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.clocks = new StoreClocks(environment);
        this.health = new StoreHealth(environment);
    }

    /**
     * A partition for a message that any may hold: among those whose leader answers, by preference one in this zone;
     * drawn by the given id. (docs/design.md, section 9.13)
     */
    public String selectHealthyPartition(String id) {
        Map<String, List<String>> placement =
                subscriptions.latest(ServiceNames.STORES).placement();
        Map<String, MemberLease> members =
                subscriptions.latest(ServiceNames.STORES).members();
        List<String> sound = new ArrayList<>();
        List<String> near = new ArrayList<>();
        placement.forEach((partition, replicas) -> {
            String leader = leaderHints.getOrDefault(partition, replicas.isEmpty() ? "" : replicas.get(0));
            if (!health.hasFailed(partition) && !health.isUnresponsive(leader) && members.containsKey(leader)) {
                sound.add(partition);
                if (members.get(leader).zone().equals(zone)) {
                    near.add(partition);
                }
            }
        });
        List<String> from = near.isEmpty() ? sound : near;
        return from.isEmpty()
                ? ServiceNames.messagePartition("", id)
                : ServiceNames.rendezvousOwner(id, from).orElse(ServiceNames.messagePartition("", id));
    }

    /** The known leader first, then the copies in turn; those that do not answer only if there are no others. */
    private String likelyLeader(String partition, int turn) {
        List<String> all = subscriptions.latest(ServiceNames.STORES).placement().getOrDefault(partition, List.of());
        List<String> replicas = all.stream().filter(c -> !health.isUnhealthy(c)).toList();
        String known = leaderHints.getOrDefault(partition, "");
        if (turn == 0 && !known.isEmpty() && !health.isUnhealthy(known)) {
            return known;
        }
        List<String> from = replicas.isEmpty() ? all : replicas;
        return from.isEmpty() ? "" : from.get(turn % from.size());
    }

    /** Goes on until the limit. The answer is definite only if no try before it was left unknown. */
    public <T> Mono<T> call(String partition, RepeatableRequest body, Class<T> type, Duration limit) {
        Duration until = environment.clock().monotonicTime().plus(limit);
        Forwarding<T> forwarding =
                new Forwarding<>(partition, to -> Mono.just(body), type, until, ResendPolicy.AFTER_UNKNOWN_OUTCOME);
        return attempt(forwarding, 0, false, "");
    }

    /** Whether asks of the partition failed lately: whoever comes now need not wait long to know. */
    public boolean isUnhealthy(String partition) {
        return health.hasFailed(partition);
    }

    /**
     * The same, but nothing that is delayed on its way beyond the limit is accepted then (docs/design.md, section 9.7).
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
                to -> clocks.deadline(to, until, ATTEMPT_TIMEOUT)
                        .<RpcRequest>map(body)
                        .onErrorMap(SubmitForwarder::notSent),
                type,
                until,
                policy);
        return attempt(forwarding, 0, false, "");
    }

    /** One ask to one store, not taken later than the limit; its answer may take as long as the limit. */
    public <T> Mono<T> callStore(
            String store,
            Function<MessageCommands.RemoteDeadline, AtMostOnceRequest> body,
            Class<T> type,
            Duration limit) {
        Duration until = environment.clock().monotonicTime().plus(limit);
        return clocks.deadline(store, until, ATTEMPT_TIMEOUT)
                .map(body)
                .onErrorMap(SubmitForwarder::notSent)
                .flatMap(atMostOnceRequest ->
                        environment.rpc().call(store, atMostOnceRequest, type, limit.plus(ATTEMPT_TIMEOUT)))
                .doOnError(e -> clocks.forget(store));
    }

    /** The question for the clock was left without an answer; of the ask itself nothing was sent. */
    private static ServiceException notSent(Throwable e) {
        ServiceException failure = ServiceException.of(e);
        return failure.kind().definite() ? failure : new UnreachableException(failure.getMessage());
    }

    /** What stays the same in all attempts: the body is made for the store that is asked. */
    private record Forwarding<T>(
            String part, Function<String, Mono<RpcRequest>> body, Class<T> type, Duration until, ResendPolicy policy) {}

    private <T> Mono<T> attempt(Forwarding<T> forwarding, int turn, boolean unknown, String hint) {
        String partition = forwarding.part();
        String to = hint.isEmpty() ? likelyLeader(partition, turn) : hint;
        if (to.isEmpty()) {
            return Mono.error(new UnavailableException("No store is placed for the part " + partition + "."));
        }
        return forwarding
                .body()
                .apply(to)
                .flatMap(rpcRequest ->
                        health.tracked(to, environment.rpc().call(to, rpcRequest, forwarding.type(), ATTEMPT_TIMEOUT)))
                .doOnNext(t -> {
                    leaderHints.put(partition, to);
                    health.onSuccess(partition, to);
                })
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    leaderHints.remove(partition, to);
                    clocks.forget(to);
                    health.onFailure(partition, to, failure);
                    boolean nowUnknown = unknown || !failure.kind().definite();
                    if (!forwarding.policy().allows(failure.kind())
                            || environment.clock().monotonicTime().compareTo(forwarding.until()) >= 0) {
                        return Mono.error(onSettled(failure, nowUnknown));
                    }
                    String next = failure instanceof NotLeaderException notLeader
                            ? notLeader.leader().orElse("")
                            : "";
                    Mono<T> more = Mono.defer(() -> attempt(forwarding, turn + 1, nowUnknown, next));
                    return next.isEmpty()
                            ? Delays.delay(environment.timers(), RETRY_PAUSE).then(more)
                            : more;
                });
    }

    /** A definite refusal after an unknown attempt says nothing of that try (docs/design.md, section 9.6). */
    private static ServiceException onSettled(ServiceException last, boolean unknown) {
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
