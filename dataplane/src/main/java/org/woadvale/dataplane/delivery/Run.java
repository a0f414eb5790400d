package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.Message;
import reactor.core.publisher.Mono;

/** One attempt at one message, from its committed start to its committed end: design 9.3. */
final class Run {
    private static final Logger LOG = LogManager.getLogger("launch");
    private static final Duration ASK_AGAIN = Duration.ofMillis(500);
    private static final Duration ASK_LIMIT = Duration.ofSeconds(2);
    private static final Duration AFTER_DEADLINE = Duration.ofMillis(250);
    private static final Duration ADOPTED = Duration.ofMillis(300);

    private final Dispatcher l;
    private final Message m;
    private final Targets.Target target;

    Run(Dispatcher l, Message started, Targets.Target target) {
        this.l = l;
        this.m = started;
        this.target = target;
    }

    private Instant wall() {
        return l.context().env().times().wall();
    }

    /** Lease, list and pass are looked at when the stream is open; only then the work may happen. */
    Mono<Boolean> push(DeliveryPermit permit) {
        Duration begun = l.context().env().times().mono();
        // the calendar may have jumped since the attempt was committed
        Duration left = Duration.between(wall(), m.deadline());
        Duration most = Duration.ofMillis(l.policy().terms(m).attemptMs());
        Duration limit = left.isNegative() ? Duration.ofMillis(1) : left.compareTo(most) > 0 ? most : left;
        SendGuard sendGuard = new SendGuard();
        return l.context()
                .post()
                .send(l.context()
                        .protocol()
                        .push(
                                m,
                                target,
                                limit,
                                () -> sendGuard.leave(() -> l.owns()
                                        && ProcessorSelector.targets(
                                                        l, l.policy().terms(m).service())
                                                .contains(target)
                                        && permit.spend())))
                .map(r -> l.context().protocol().read(m, r))
                .onErrorResume(e -> Mono.just(new Verdict(Verdict.Kind.UNCLEAR, String.valueOf(e.getMessage()))))
                .flatMap(v -> {
                    boolean answered = v.kind() != Verdict.Kind.UNCLEAR && v.kind() != Verdict.Kind.NOT_KNOWN;
                    l.context()
                            .targets()
                            .ended(
                                    target,
                                    answered && v.kind() != Verdict.Kind.LATER,
                                    l.context().env().times().mono().minus(begun));
                    if (sendGuard.close()) {
                        permit.putBack();
                        return end(
                                Commands.Ending.NOT_SENT,
                                "not sent: " + v.word(),
                                wall().plus(l.policy().soon()));
                    }
                    return settle(v);
                });
    }

    private Mono<Boolean> settle(Verdict v) {
        return switch (v.kind()) {
            case DONE -> end(Commands.Ending.DONE, v.word(), wall());
            case REFUSED -> end(Commands.Ending.FAILED, v.word(), wall());
            case LATER ->
                l.policy().triesLeft(m)
                        ? end(
                                Commands.Ending.RETRY,
                                v.word(),
                                wall().plus(l.policy().backoff(m.tries())))
                        : end(Commands.Ending.FAILED, "attempts used up; last: " + v.word(), wall());
            case NOT_KNOWN ->
                end(Commands.Ending.NOT_SENT, v.word(), wall().plus(l.policy().backoff(1)));
            case UNCLEAR, RUNNING -> l.policy().resends(m) ? resend(v.word()) : inquireLater();
        };
    }

    Mono<Boolean> end(Commands.Ending ending, String word, Instant due) {
        Commands.End e = new Commands.End(m.handle(), m.attempt(), ending, word, due, wall());
        return l.context().recorder().record(l.part(), e, m.processor());
    }

    /**
     * No back end can be asked: it is sent again once the attempt can do nothing more, or at once to a service that
     * gives a repeat its first success again. design 9.11
     */
    Mono<Boolean> resend(String why) {
        Duration wait = l.policy().deduplicates(m)
                ? l.policy().soon()
                : Duration.between(wall(), m.deadline()).plus(AFTER_DEADLINE);
        return org.woadvale.common.runtime.Delays.pause(
                        l.context().env().schedules(), wait.isNegative() ? Duration.ZERO : wait)
                .then(Mono.defer(() -> end(
                        Commands.Ending.LAPSED,
                        "sent again: " + why,
                        wall().plus(l.policy().soon()))));
    }

    /** Running by the log, but begun by an earlier owner, which may still hand over the answer that it got. */
    Mono<Boolean> adopted() {
        return l.policy().resends(m)
                ? org.woadvale.common.runtime.Delays.pause(l.context().env().schedules(), ADOPTED)
                        .then(Mono.defer(() -> resend("the owner changed")))
                : inquire();
    }

    private Mono<Boolean> inquireLater() {
        return org.woadvale.common.runtime.Delays.pause(l.context().env().schedules(), ASK_AGAIN)
                .then(Mono.defer(this::inquire));
    }

    /** Never run again while the processor may still know: ask it by message id. */
    Mono<Boolean> inquire() {
        if (!l.owns()) {
            return Mono.just(false);
        }
        boolean late = wall().isAfter(m.deadline());
        ProcessorStatus where = l.processorStatus(m);
        if (late && where.kind() == ProcessorStatus.Kind.GONE) {
            return unclear("the processor is gone");
        }
        if (late
                && where.kind() == ProcessorStatus.Kind.FETCHES
                && l.policy().terms(m).rerun()) {
            return unclear("no outcome before the deadline");
        }
        if (wall().isAfter(l.policy().expiry(m)) && mayEndUnproven(where)) {
            return end(Commands.Ending.FAILED, Message.UNCLEAR + "time limit reached", wall());
        }
        Optional<DeliveryPermit> permit = where.canBeAsked() ? l.mayInquire(m) : Optional.empty();
        if (permit.isEmpty()) {
            return inquireLater();
        }
        return l.context()
                .post()
                .send(new DeliveryClient.Call(
                        "GET",
                        where.address() + "/runs/" + m.handle() + "?attempt=" + m.attempt(),
                        new byte[0],
                        ASK_LIMIT,
                        () -> l.owns() && permit.get().spend()))
                .map(r -> Verdict.ofInquiry(r, m.handle()))
                .onErrorResume(e -> Mono.just(new Verdict(Verdict.Kind.UNCLEAR, "no answer")))
                .flatMap(v -> {
                    if (v.kind() == Verdict.Kind.NOT_KNOWN) {
                        // a push still under way may arrive until the deadline: design 9.3
                        return late ? retry(v.word()) : inquireLater();
                    }
                    return settle(v);
                });
    }

    /** The next of a key must not start while a listed processor may still run this one: design 9.3. */
    private boolean mayEndUnproven(ProcessorStatus where) {
        return !m.ordered()
                || where.kind() == ProcessorStatus.Kind.FETCHES
                || where.kind() == ProcessorStatus.Kind.GONE;
    }

    /** Nobody can say any more whether it was done: the lane's operator has said what then. */
    private Mono<Boolean> unclear(String why) {
        LOG.warn("launch: it stays unclear whether {} was done: {}.", m.handle(), why);
        return l.policy().terms(m).rerun() ? retry(why) : end(Commands.Ending.FAILED, Message.UNCLEAR + why, wall());
    }

    private Mono<Boolean> retry(String word) {
        return l.policy().triesLeft(m)
                ? end(Commands.Ending.RETRY, word, wall().plus(l.policy().backoff(1)))
                : end(Commands.Ending.FAILED, "attempts used up; last: " + word, wall());
    }
}
