package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.MessageState;
import reactor.core.publisher.Mono;

/**
 * Leases of the messages of one partition that processors have pulled, in its leader's memory. A new leader knows none,
 * so it counts from when it took over, which is later than any renewal that its predecessor answered.
 */
final class DeliveryLeases {
    /** For renewals that were answered while the clock was read. */
    private static final Duration MARGIN = Duration.ofMillis(100);

    private record HeldLease(int attempt, Duration lastRenewal, boolean expiring) {}

    private final DispatchContext context;
    private final MessagePartition partition;
    private final Dispatcher dispatcher;
    private final Map<String, HeldLease> leases = new HashMap<>();

    DeliveryLeases(DispatchContext context, MessagePartition partition, Dispatcher dispatcher) {
        this.context = context;
        this.partition = partition;
        this.dispatcher = dispatcher;
    }

    private Duration now() {
        return context.environment().clock().monotonicTime();
    }

    private Instant wallTime() {
        return context.environment().clock().wallTime();
    }

    /** Due messages of a service here, for those that pull it; the first place among tenants goes round. */
    List<Message> due(String service, int most, int turn) {
        Instant now = wallTime();
        DeliveryPolicy policy = dispatcher.policy();
        return partition
                .replica()
                .inspect(i -> partition
                        .stateMachine()
                        .ready()
                        .dueOfAllLanes(now, most, turn, message -> policy.isOfService(message, service)));
    }

    /** The attempt is committed, then all is checked again; empty where it was not handed out. */
    Mono<Message> begin(Message message, String processor) {
        if (!mayBegin(message)) {
            return Mono.empty();
        }
        String service = dispatcher.policy().terms(message).service();
        Optional<DeliveryPermit> permit = DeliveryPermit.tryAcquire(context, partition, message, service);
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        MessageCommands.Start start = new MessageCommands.Start(
                message.handle(),
                message.attempt() + 1,
                processor,
                wallTime().plus(context.leaseTime()),
                wallTime(),
                Message.LEASE_PREFIX + processor);
        return partition
                .replica()
                .propose(start, MessageCommands.TransitionResult.class)
                .doOnError(e -> permit.get().release())
                .flatMap(result -> handOut(message, processor, permit.get(), result));
    }

    private boolean mayBegin(Message message) {
        return !wallTime().isAfter(dispatcher.policy().expiry(message))
                && context.configurations().fresh().isPresent()
                && (message.attemptsMade() == 0 || dispatcher.retryAllowed(message.lane() + "/" + message.tenant()));
    }

    private Mono<Message> handOut(
            Message message, String processor, DeliveryPermit permit, MessageCommands.TransitionResult started) {
        boolean allowed = started.applied()
                && dispatcher.isLeader()
                && context.configurations().fresh().isPresent()
                && permit.spend();
        if (allowed) {
            renew(message.handle(), started.message().attempt());
            return Mono.just(started.message());
        }
        permit.release();
        if (!started.applied()) {
            return Mono.empty();
        }
        MessageCommands.End end = new MessageCommands.End(
                message.handle(),
                message.attempt() + 1,
                MessageCommands.AttemptOutcome.NOT_SENT,
                "not handed out",
                wallTime(),
                wallTime());
        return context.recorder().record(partition.id(), end, processor).then(Mono.empty());
    }

    /** Not the leader any more. */
    synchronized void clear() {
        leases.clear();
    }

    private synchronized void forget(String handle) {
        leases.remove(handle);
    }

    /** A running message that is leased: its lease expires once the time since the last renewal is over. */
    void onTick(Message message) {
        if (expire(message)) {
            MessageCommands.End end = new MessageCommands.End(
                    message.handle(),
                    message.attempt(),
                    MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN,
                    "the lease lapsed",
                    wallTime(),
                    wallTime());
            partition
                    .replica()
                    .propose(end, MessageCommands.TransitionResult.class)
                    .subscribe(result -> forget(message.handle()), e -> forget(message.handle()));
        }
    }

    /** From the moment this is true no renewal is accepted, so nothing is handed out too soon after one. */
    private synchronized boolean expire(Message message) {
        HeldLease lease = leases.get(message.handle());
        if (lease == null || lease.attempt() != message.attempt()) {
            leases.put(message.handle(), new HeldLease(message.attempt(), now(), false));
            return false;
        }
        if (lease.expiring()
                || now().minus(lease.lastRenewal())
                                .compareTo(context.leaseTime().plus(MARGIN))
                        <= 0) {
            return false;
        }
        leases.put(message.handle(), new HeldLease(lease.attempt(), lease.lastRenewal(), true));
        return true;
    }

    private synchronized boolean renew(String handle, int attempt) {
        HeldLease lease = leases.get(handle);
        if (lease != null && (lease.attempt() > attempt || lease.attempt() == attempt && lease.expiring())) {
            return false;
        }
        leases.put(handle, new HeldLease(attempt, now(), false));
        return true;
    }

    /** True if the processor still has it and may go on for another lease. */
    Mono<Boolean> extend(MessageCommands.ExtendLeaseRequest request) {
        return partition
                .replica()
                .read(i -> partition
                                .stateMachine()
                                .get(request.handle())
                                .filter(message -> message.leased()
                                        && message.state() == MessageState.RUNNING
                                        && message.attempt() == request.attempt())
                                .isPresent()
                        && renew(request.handle(), request.attempt()))
                .flatMap(ok -> ok ? Mono.just(true) : Mono.error(gone()));
    }

    private static ServiceException gone() {
        return new ConflictException("The lease is gone.");
    }

    /** The same end said again has the same answer; the end of an earlier lease is refused. */
    Mono<MessageCommands.TransitionResult> end(MessageCommands.End end) {
        return partition
                .replica()
                .read(i -> partition.stateMachine().get(end.handle()))
                .flatMap(found -> {
                    Optional<Message> message = found.filter(Message::leased);
                    if (message.isPresent() && message.get().hasRecordedEnd(end.attempt())) {
                        return Mono.just(new MessageCommands.TransitionResult(true, message.get()));
                    }
                    if (message.isEmpty()
                            || message.get().attempt() != end.attempt()
                            || message.get().state().isTerminal()) {
                        return Mono.error(gone());
                    }
                    return partition
                            .replica()
                            .propose(withLeaderTime(end, message.get()), MessageCommands.TransitionResult.class)
                            .flatMap(result -> {
                                forget(end.handle());
                                return result.applied() || result.message().hasRecordedEnd(end.attempt())
                                        ? Mono.just(new MessageCommands.TransitionResult(true, result.message()))
                                        : Mono.error(gone());
                            });
                });
    }

    /** Clock and attempts are the leader's to count. */
    private MessageCommands.End withLeaderTime(MessageCommands.End end, Message message) {
        boolean over = end.outcome() == MessageCommands.AttemptOutcome.RETRY
                && !dispatcher.policy().attemptsLeft(message);
        Instant due = end.outcome() == MessageCommands.AttemptOutcome.RETRY
                ? wallTime().plus(dispatcher.policy().backoff(message.attemptsMade()))
                : wallTime().plus(dispatcher.policy().shortRetryDelay());
        return new MessageCommands.End(
                end.handle(),
                end.attempt(),
                over ? MessageCommands.AttemptOutcome.FAILED : end.outcome(),
                over ? "attempts used up; last: " + end.proof() : end.proof(),
                due,
                wallTime());
    }
}
