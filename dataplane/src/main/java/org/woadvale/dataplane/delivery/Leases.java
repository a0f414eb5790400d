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
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.MessageState;
import org.woadvale.dataplane.queue.ReadyQueue;
import reactor.core.publisher.Mono;

/**
 * Leases of one part, in its owner's memory: when the last word on each came. A new owner knows none, so it counts from
 * when it took over, which is later than any word that its predecessor answered. design 9.10
 */
final class Leases {
    /** For words that were answered while the clock was read. */
    private static final Duration MARGIN = Duration.ofMillis(100);

    private record Held(int attempt, Duration lastWord, boolean lapsing) {}

    private final DispatchContext context;
    private final MessagePartition partition;
    private final Dispatcher dispatcher;
    private final Map<String, Held> held = new HashMap<>();

    Leases(DispatchContext context, MessagePartition partition, Dispatcher dispatcher) {
        this.context = context;
        this.partition = partition;
        this.dispatcher = dispatcher;
    }

    private Duration now() {
        return context.env().times().mono();
    }

    private Instant wall() {
        return context.env().times().wall();
    }

    /** Due messages of a service here, for those that fetch it; the first place among tenants goes round. */
    List<Message> due(String service, int most, int turn) {
        Instant now = wall();
        return partition.replica().look(i -> {
            List<Message> out = new ArrayList<>();
            ReadyQueue s = partition.machine().startable();
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
        if (wall().isAfter(dispatcher.policy().expiry(m))
                || context.configurations().fresh().isEmpty()
                || m.tries() > 0 && !dispatcher.retryAllowed(m.lane() + "/" + m.tenant())) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.draw(context, partition, m, service);
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        Commands.Start s = new Commands.Start(
                m.handle(),
                m.attempt() + 1,
                processor,
                wall().plus(context.lease()),
                wall(),
                Message.LEASED + processor);
        return partition
                .replica()
                .propose(s, Commands.Changed.class)
                .doOnError(e -> permit.get().putBack())
                .flatMap(c -> {
                    if (c.done()
                            && dispatcher.owns()
                            && context.configurations().fresh().isPresent()
                            && permit.get().spend()) {
                        touch(m.handle(), c.message().attempt());
                        return Mono.just(c.message());
                    }
                    permit.get().putBack();
                    return c.done()
                            ? context.recorder()
                                    .record(
                                            partition.part(),
                                            new Commands.End(
                                                    m.handle(),
                                                    m.attempt() + 1,
                                                    Commands.Ending.NOT_SENT,
                                                    "not handed out",
                                                    wall(),
                                                    wall()),
                                            processor)
                                    .then(Mono.<Message>empty())
                            : Mono.empty();
                });
    }

    /** Not the owner any more. */
    synchronized void clear() {
        held.clear();
    }

    private synchronized void forget(String handle) {
        held.remove(handle);
    }

    /** A running message that is leased: it lapses once the time since the last word is over. */
    void look(Message m) {
        if (lapses(m)) {
            Commands.End e = new Commands.End(
                    m.handle(), m.attempt(), Commands.Ending.LAPSED, "the lease lapsed", wall(), wall());
            partition
                    .replica()
                    .propose(e, Commands.Changed.class)
                    .subscribe(c -> forget(m.handle()), x -> forget(m.handle()));
        }
    }

    /** From the moment this is true no word is taken any more, so nothing is handed out too soon after one. */
    private synchronized boolean lapses(Message m) {
        Held h = held.get(m.handle());
        if (h == null || h.attempt() != m.attempt()) {
            held.put(m.handle(), new Held(m.attempt(), now(), false));
            return false;
        }
        if (h.lapsing() || now().minus(h.lastWord()).compareTo(context.lease().plus(MARGIN)) <= 0) {
            return false;
        }
        held.put(m.handle(), new Held(h.attempt(), h.lastWord(), true));
        return true;
    }

    private synchronized boolean touch(String handle, int attempt) {
        Held h = held.get(handle);
        if (h != null && (h.attempt() > attempt || h.attempt() == attempt && h.lapsing())) {
            return false;
        }
        held.put(handle, new Held(attempt, now(), false));
        return true;
    }

    /** True if the processor still has it and may go on for a whole lease. */
    Mono<Boolean> extend(Commands.LeaseAsk a) {
        return partition
                .replica()
                .read(i -> partition
                                .machine()
                                .get(a.handle())
                                .filter(x ->
                                        x.leased() && x.state() == MessageState.RUNNING && x.attempt() == a.attempt())
                                .isPresent()
                        && touch(a.handle(), a.attempt()))
                .flatMap(ok -> ok ? Mono.just(true) : Mono.error(gone()));
    }

    private static ServiceException gone() {
        return new ServiceException(ErrorKind.CONFLICT, "The lease is gone.");
    }

    /** The same end said again has the same answer; the end of an earlier lease is refused. */
    Mono<Commands.Changed> end(Commands.End e) {
        return partition
                .replica()
                .read(i -> partition.machine().get(e.handle()))
                .flatMap(found -> {
                    Optional<Message> m = found.filter(Message::leased);
                    if (m.isPresent() && m.get().tookEnd(e.attempt())) {
                        return Mono.just(new Commands.Changed(true, m.get()));
                    }
                    if (m.isEmpty()
                            || m.get().attempt() != e.attempt()
                            || m.get().state().ended()) {
                        return Mono.error(gone());
                    }
                    return partition
                            .replica()
                            .propose(settled(e, m.get()), Commands.Changed.class)
                            .flatMap(c -> {
                                forget(e.handle());
                                return c.done() || c.message().tookEnd(e.attempt())
                                        ? Mono.just(new Commands.Changed(true, c.message()))
                                        : Mono.error(gone());
                            });
                });
    }

    /** Clock and attempts are the owner's to count. */
    private Commands.End settled(Commands.End e, Message m) {
        boolean over =
                e.ending() == Commands.Ending.RETRY && !dispatcher.policy().triesLeft(m);
        Instant due = e.ending() == Commands.Ending.RETRY
                ? wall().plus(dispatcher.policy().backoff(m.tries()))
                : wall().plus(dispatcher.policy().soon());
        return new Commands.End(
                e.handle(),
                e.attempt(),
                over ? Commands.Ending.FAILED : e.ending(),
                over ? "attempts used up; last: " + e.proof() : e.proof(),
                due,
                wall());
    }
}
