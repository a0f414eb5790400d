package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.MessageState;
import org.woadvale.dataplane.queue.ReadyQueue;
import reactor.core.publisher.Mono;

/**
 * Leases of one part, in its owner's memory: when the last word on each came. A new owner knows none, so it counts from
 * when it took over, which is later than any word that its predecessor answered. design 9.10
 */
final class DeliveryLeases {
    /** For words that were answered while the clock was read. */
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

    /** Due messages of a service here, for those that fetch it; the first place among tenants goes round. */
    List<Message> due(String service, int most, int turn) {
        Instant now = wallTime();
        return partition.replica().look(i -> {
            List<Message> out = new ArrayList<>();
            ReadyQueue s = partition.stateMachine().ready();
            s.lanes()
                    .forEach(lane -> out.addAll(s.due(
                            lane,
                            now,
                            most,
                            turn,
                            m -> dispatcher.policy().terms(m).service().equals(service))));
            return out;
        });
    }

    /** The attempt is committed, then all is looked at again; empty where it was not handed out. */
    Mono<Message> begin(Message m, String processor) {
        String service = dispatcher.policy().terms(m).service();
        if (wallTime().isAfter(dispatcher.policy().expiry(m))
                || context.configurations().fresh().isEmpty()
                || m.attemptsMade() > 0 && !dispatcher.retryAllowed(m.lane() + "/" + m.tenant())) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.draw(context, partition, m, service);
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        MessageCommands.Start s = new MessageCommands.Start(
                m.handle(),
                m.attempt() + 1,
                processor,
                wallTime().plus(context.leaseTime()),
                wallTime(),
                Message.LEASED + processor);
        return partition
                .replica()
                .propose(s, MessageCommands.TransitionResult.class)
                .doOnError(e -> permit.get().release())
                .flatMap(c -> {
                    if (c.applied()
                            && dispatcher.isLeader()
                            && context.configurations().fresh().isPresent()
                            && permit.get().spend()) {
                        renew(m.handle(), c.message().attempt());
                        return Mono.just(c.message());
                    }
                    permit.get().release();
                    return c.applied()
                            ? context.recorder()
                                    .record(
                                            partition.id(),
                                            new MessageCommands.End(
                                                    m.handle(),
                                                    m.attempt() + 1,
                                                    MessageCommands.AttemptOutcome.NOT_SENT,
                                                    "not handed out",
                                                    wallTime(),
                                                    wallTime()),
                                            processor)
                                    .then(Mono.<Message>empty())
                            : Mono.empty();
                });
    }

    /** Not the owner any more. */
    synchronized void clear() {
        leases.clear();
    }

    private synchronized void forget(String handle) {
        leases.remove(handle);
    }

    /** A running message that is leased: it lapses once the time since the last word is over. */
    void onTick(Message m) {
        if (expire(m)) {
            MessageCommands.End e = new MessageCommands.End(
                    m.handle(),
                    m.attempt(),
                    MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN,
                    "the lease lapsed",
                    wallTime(),
                    wallTime());
            partition
                    .replica()
                    .propose(e, MessageCommands.TransitionResult.class)
                    .subscribe(c -> forget(m.handle()), x -> forget(m.handle()));
        }
    }

    /** From the moment this is true no word is taken any more, so nothing is handed out too soon after one. */
    private synchronized boolean expire(Message m) {
        HeldLease h = leases.get(m.handle());
        if (h == null || h.attempt() != m.attempt()) {
            leases.put(m.handle(), new HeldLease(m.attempt(), now(), false));
            return false;
        }
        if (h.expiring()
                || now().minus(h.lastRenewal()).compareTo(context.leaseTime().plus(MARGIN)) <= 0) {
            return false;
        }
        leases.put(m.handle(), new HeldLease(h.attempt(), h.lastRenewal(), true));
        return true;
    }

    private synchronized boolean renew(String handle, int attempt) {
        HeldLease h = leases.get(handle);
        if (h != null && (h.attempt() > attempt || h.attempt() == attempt && h.expiring())) {
            return false;
        }
        leases.put(handle, new HeldLease(attempt, now(), false));
        return true;
    }

    /** True if the processor still has it and may go on for a whole lease. */
    Mono<Boolean> extend(MessageCommands.ExtendLeaseRequest a) {
        return partition
                .replica()
                .read(i -> partition
                                .stateMachine()
                                .get(a.handle())
                                .filter(x ->
                                        x.leased() && x.state() == MessageState.RUNNING && x.attempt() == a.attempt())
                                .isPresent()
                        && renew(a.handle(), a.attempt()))
                .flatMap(ok -> ok ? Mono.just(true) : Mono.error(gone()));
    }

    private static ServiceException gone() {
        return new ServiceException(ErrorKind.CONFLICT, "The lease is gone.");
    }

    /** The same end said again has the same answer; the end of an earlier lease is refused. */
    Mono<MessageCommands.TransitionResult> end(MessageCommands.End e) {
        return partition
                .replica()
                .read(i -> partition.stateMachine().get(e.handle()))
                .flatMap(found -> {
                    Optional<Message> m = found.filter(Message::leased);
                    if (m.isPresent() && m.get().hasRecordedEnd(e.attempt())) {
                        return Mono.just(new MessageCommands.TransitionResult(true, m.get()));
                    }
                    if (m.isEmpty()
                            || m.get().attempt() != e.attempt()
                            || m.get().state().ended()) {
                        return Mono.error(gone());
                    }
                    return partition
                            .replica()
                            .propose(settled(e, m.get()), MessageCommands.TransitionResult.class)
                            .flatMap(c -> {
                                forget(e.handle());
                                return c.applied() || c.message().hasRecordedEnd(e.attempt())
                                        ? Mono.just(new MessageCommands.TransitionResult(true, c.message()))
                                        : Mono.error(gone());
                            });
                });
    }

    /** Clock and attempts are the owner's to count. */
    private MessageCommands.End settled(MessageCommands.End e, Message m) {
        boolean over = e.outcome() == MessageCommands.AttemptOutcome.RETRY
                && !dispatcher.policy().attemptsLeft(m);
        Instant due = e.outcome() == MessageCommands.AttemptOutcome.RETRY
                ? wallTime().plus(dispatcher.policy().backoff(m.attemptsMade()))
                : wallTime().plus(dispatcher.policy().retrySoon());
        return new MessageCommands.End(
                e.handle(),
                e.attempt(),
                over ? MessageCommands.AttemptOutcome.FAILED : e.outcome(),
                over ? "attempts used up; last: " + e.proof() : e.proof(),
                due,
                wallTime());
    }
}
