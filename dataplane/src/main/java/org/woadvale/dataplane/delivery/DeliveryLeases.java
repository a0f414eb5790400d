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
 * Leases of the messages of one partition that processors have pulled, kept in the memory of its leader. A new leader
 * starts without any and counts each lease from its own takeover, which is later than any renewal that its predecessor
 * answered.
 */
final class DeliveryLeases {
    /** Allowance for renewals that are answered while the clock is being read. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(100);

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

    /**
     * Due messages of a service in this partition, for processors that pull; the rotation selects the tenant that comes
     * first.
     */
    List<Message> due(String service, int limit, int rotation) {
        Instant now = wallTime();
        DeliveryPolicy policy = dispatcher.policy();
        return partition
                .replica()
                .inspect(i -> partition
                        .stateMachine()
                        .ready()
                        .dueOfAllLanes(now, limit, rotation, message -> policy.isOfService(message, service)));
    }

    /** Commits the start of an attempt, then repeats all checks; empty if the message was not handed out. */
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

    /** Called when this node does not lead the partition. */
    synchronized void clear() {
        leases.clear();
    }

    private synchronized void forget(String handle) {
        leases.remove(handle);
    }

    /** Ends the attempt of a running message once the lease time has passed since the last renewal. */
    void onTick(Message message) {
        if (tryExpire(message)) {
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

    /** Once this returns true, no renewal is accepted, so that the message is not handed out too soon after one. */
    private synchronized boolean tryExpire(Message message) {
        HeldLease lease = leases.get(message.handle());
        if (lease == null || lease.attempt() != message.attempt()) {
            leases.put(message.handle(), new HeldLease(message.attempt(), now(), false));
            return false;
        }
        if (lease.expiring()
                || now().minus(lease.lastRenewal())
                                .compareTo(context.leaseTime().plus(EXPIRY_MARGIN))
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

    /** Renews a lease; fails with CONFLICT if the processor no longer holds it. */
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
                .flatMap(renewed -> renewed ? Mono.just(true) : Mono.error(leaseLost()));
    }

    private static ServiceException leaseLost() {
        return new ConflictException("The lease is gone.");
    }

    /** Ends a lease. A repeated end gets the same result; the end of an earlier lease is refused. */
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
                        return Mono.error(leaseLost());
                    }
                    return partition
                            .replica()
                            .propose(withLeaderTime(end, message.get()), MessageCommands.TransitionResult.class)
                            .flatMap(result -> {
                                forget(end.handle());
                                return result.applied() || result.message().hasRecordedEnd(end.attempt())
                                        ? Mono.just(new MessageCommands.TransitionResult(true, result.message()))
                                        : Mono.error(leaseLost());
                            });
                });
    }

    /** Replaces the times by those of the leader, and a retry by a failure if no attempts are left. */
    private MessageCommands.End withLeaderTime(MessageCommands.End end, Message message) {
        boolean attemptsUsedUp = end.outcome() == MessageCommands.AttemptOutcome.RETRY
                && !dispatcher.policy().attemptsLeft(message);
        Instant due = end.outcome() == MessageCommands.AttemptOutcome.RETRY
                ? wallTime().plus(dispatcher.policy().backoff(message.attemptsMade()))
                : wallTime().plus(dispatcher.policy().shortRetryDelay());
        return new MessageCommands.End(
                end.handle(),
                end.attempt(),
                attemptsUsedUp ? MessageCommands.AttemptOutcome.FAILED : end.outcome(),
                attemptsUsedUp ? "attempts used up; last: " + end.proof() : end.proof(),
                due,
                wallTime());
    }
}
