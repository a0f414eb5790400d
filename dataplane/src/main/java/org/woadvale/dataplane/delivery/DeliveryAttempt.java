package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** One attempt at one message, from its committed start to its committed end: design 9.3. */
final class DeliveryAttempt {
    private static final Logger LOG = LogManager.getLogger(DeliveryAttempt.class);
    private static final Duration INQUIRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration INQUIRY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration GRACE_AFTER_DEADLINE = Duration.ofMillis(250);
    private static final Duration ADOPTION_DELAY = Duration.ofMillis(300);

    private final Dispatcher dispatcher;
    private final Message message;
    private final DeliveryTargets.Target target;

    DeliveryAttempt(Dispatcher dispatcher, Message started, DeliveryTargets.Target target) {
        this.dispatcher = dispatcher;
        this.message = started;
        this.target = target;
    }

    private Instant wallTime() {
        return dispatcher.context().environment().clock().wallTime();
    }

    /** Lease, list and pass are looked at when the stream is open; only then the work may happen. */
    Mono<Boolean> push(DeliveryPermit permit) {
        Duration begun = dispatcher.context().environment().clock().monotonicTime();
        // the calendar may have jumped since the attempt was committed
        Duration left = Duration.between(wallTime(), message.deadline());
        Duration most = Duration.ofMillis(dispatcher.policy().terms(message).attemptMs());
        Duration limit = left.isNegative() ? Duration.ofMillis(1) : left.compareTo(most) > 0 ? most : left;
        SendGuard sendGuard = new SendGuard();
        return dispatcher
                .context()
                .deliveryClient()
                .send(dispatcher
                        .context()
                        .protocol()
                        .push(
                                message,
                                target,
                                limit,
                                () -> sendGuard.leave(() -> dispatcher.isLeader()
                                        && ProcessorSelector.targets(
                                                        dispatcher,
                                                        dispatcher
                                                                .policy()
                                                                .terms(message)
                                                                .service())
                                                .contains(target)
                                        && permit.spend())))
                .map(deliveryResponse -> dispatcher.context().protocol().read(message, deliveryResponse))
                .onErrorResume(
                        e -> Mono.just(new Verdict(Verdict.Kind.OUTCOME_UNKNOWN, String.valueOf(e.getMessage()))))
                .flatMap(verdict -> {
                    boolean answered = verdict.kind() != Verdict.Kind.OUTCOME_UNKNOWN
                            && verdict.kind() != Verdict.Kind.UNKNOWN_MESSAGE;
                    dispatcher
                            .context()
                            .targets()
                            .ended(
                                    target,
                                    answered && verdict.kind() != Verdict.Kind.RETRY,
                                    dispatcher
                                            .context()
                                            .environment()
                                            .clock()
                                            .monotonicTime()
                                            .minus(begun));
                    if (sendGuard.close()) {
                        permit.release();
                        return recordEnd(
                                MessageCommands.AttemptOutcome.NOT_SENT,
                                "not sent: " + verdict.reason(),
                                wallTime().plus(dispatcher.policy().retrySoon()));
                    }
                    return commitOutcome(verdict);
                });
    }

    private Mono<Boolean> commitOutcome(Verdict verdict) {
        return switch (verdict.kind()) {
            case DONE -> recordEnd(MessageCommands.AttemptOutcome.SUCCEEDED, verdict.reason(), wallTime());
            case REJECTED -> recordEnd(MessageCommands.AttemptOutcome.FAILED, verdict.reason(), wallTime());
            case RETRY ->
                dispatcher.policy().attemptsLeft(message)
                        ? recordEnd(
                                MessageCommands.AttemptOutcome.RETRY,
                                verdict.reason(),
                                wallTime().plus(dispatcher.policy().backoff(message.attemptsMade())))
                        : recordEnd(
                                MessageCommands.AttemptOutcome.FAILED,
                                "attempts used up; last: " + verdict.reason(),
                                wallTime());
            case UNKNOWN_MESSAGE ->
                recordEnd(
                        MessageCommands.AttemptOutcome.NOT_SENT,
                        verdict.reason(),
                        wallTime().plus(dispatcher.policy().backoff(1)));
            case OUTCOME_UNKNOWN, RUNNING ->
                dispatcher.policy().resends(message) ? resend(verdict.reason()) : inquireLater();
        };
    }

    Mono<Boolean> recordEnd(MessageCommands.AttemptOutcome ending, String word, Instant due) {
        MessageCommands.End end =
                new MessageCommands.End(message.handle(), message.attempt(), ending, word, due, wallTime());
        return dispatcher.context().recorder().record(dispatcher.partitionId(), end, message.processor());
    }

    /**
     * No back end can be asked: it is sent again once the attempt can do nothing more, or at once to a service that
     * gives a repeat its first success again. design 9.11
     */
    Mono<Boolean> resend(String why) {
        Duration wait = dispatcher.policy().deduplicates(message)
                ? dispatcher.policy().retrySoon()
                : Duration.between(wallTime(), message.deadline()).plus(GRACE_AFTER_DEADLINE);
        return Delays.pause(dispatcher.context().environment().timers(), wait.isNegative() ? Duration.ZERO : wait)
                .then(Mono.defer(() -> recordEnd(
                        MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN,
                        "sent again: " + why,
                        wallTime().plus(dispatcher.policy().retrySoon()))));
    }

    /** Running by the log, but begun by an earlier owner, which may still hand over the answer that it got. */
    Mono<Boolean> resumeAfterAdoption() {
        return dispatcher.policy().resends(message)
                ? Delays.pause(dispatcher.context().environment().timers(), ADOPTION_DELAY)
                        .then(Mono.defer(() -> resend("the owner changed")))
                : inquire();
    }

    private Mono<Boolean> inquireLater() {
        return Delays.pause(dispatcher.context().environment().timers(), INQUIRY_INTERVAL)
                .then(Mono.defer(this::inquire));
    }

    /** Never run again while the processor may still know: ask it by message id. */
    Mono<Boolean> inquire() {
        if (!dispatcher.isLeader()) {
            return Mono.just(false);
        }
        boolean late = wallTime().isAfter(message.deadline());
        ProcessorStatus where = dispatcher.processorStatus(message);
        if (late && where.kind() == ProcessorStatus.Kind.GONE) {
            return outcomeUnknown("the processor is gone");
        }
        if (late
                && where.kind() == ProcessorStatus.Kind.PULLS
                && dispatcher.policy().terms(message).rerun()) {
            return outcomeUnknown("no outcome before the deadline");
        }
        if (wallTime().isAfter(dispatcher.policy().expiry(message)) && mayEndUnproven(where)) {
            return recordEnd(
                    MessageCommands.AttemptOutcome.FAILED,
                    Message.OUTCOME_UNKNOWN_PROOF + "time limit reached",
                    wallTime());
        }
        Optional<DeliveryPermit> permit = where.canBeAsked() ? dispatcher.mayInquire(message) : Optional.empty();
        if (permit.isEmpty()) {
            return inquireLater();
        }
        return dispatcher
                .context()
                .deliveryClient()
                .send(new DeliveryClient.DeliveryRequest(
                        "GET",
                        where.address() + "/runs/" + message.handle() + "?attempt=" + message.attempt(),
                        new byte[0],
                        INQUIRY_TIMEOUT,
                        () -> dispatcher.isLeader() && permit.get().spend()))
                .map(deliveryResponse -> Verdict.ofInquiry(deliveryResponse, message.handle()))
                .onErrorResume(e -> Mono.just(new Verdict(Verdict.Kind.OUTCOME_UNKNOWN, "no answer")))
                .flatMap(verdict -> {
                    if (verdict.kind() == Verdict.Kind.UNKNOWN_MESSAGE) {
                        // a push still under way may arrive until the deadline: design 9.3
                        return late ? retry(verdict.reason()) : inquireLater();
                    }
                    return commitOutcome(verdict);
                });
    }

    /** The next of a key must not start while a listed processor may still run this one: design 9.3. */
    private boolean mayEndUnproven(ProcessorStatus where) {
        return !message.ordered()
                || where.kind() == ProcessorStatus.Kind.PULLS
                || where.kind() == ProcessorStatus.Kind.GONE;
    }

    /** Nobody can say any more whether it was done: the lane's operator has said what then. */
    private Mono<Boolean> outcomeUnknown(String why) {
        LOG.warn("The outcome of {} stays unknown: {}.", message.handle(), why);
        return dispatcher.policy().terms(message).rerun()
                ? retry(why)
                : recordEnd(MessageCommands.AttemptOutcome.FAILED, Message.OUTCOME_UNKNOWN_PROOF + why, wallTime());
    }

    private Mono<Boolean> retry(String word) {
        return dispatcher.policy().attemptsLeft(message)
                ? recordEnd(
                        MessageCommands.AttemptOutcome.RETRY,
                        word,
                        wallTime().plus(dispatcher.policy().backoff(1)))
                : recordEnd(MessageCommands.AttemptOutcome.FAILED, "attempts used up; last: " + word, wallTime());
    }
}
