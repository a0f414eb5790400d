package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;
import reactor.core.publisher.Mono;

/**
 * One attempt at one message, from its committed start to its committed end. What may have been done is not begun again
 * before it is known that it was not.
 */
final class DeliveryAttempt {
    private static final Logger LOG = LogManager.getLogger(DeliveryAttempt.class);
    private static final Duration INQUIRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration INQUIRY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration GRACE_AFTER_DEADLINE = Duration.ofMillis(250);
    private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);
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

    /** Lease, processors and permit are checked when the connection is open; only then the message may leave. */
    Mono<Boolean> push(DeliveryPermit permit) {
        DispatchContext context = dispatcher.context();
        Duration begun = context.environment().clock().monotonicTime();
        SendGuard sendGuard = new SendGuard();
        DeliveryClient.DeliveryRequest request = context.protocol()
                .push(message, target, timeout(), () -> sendGuard.trySend(() -> mayStillSend() && permit.spend()));
        return context.deliveryClient()
                .send(request)
                .map(response -> context.protocol().read(message, response))
                .onErrorResume(
                        e -> Mono.just(new Verdict(Verdict.Kind.OUTCOME_UNKNOWN, String.valueOf(e.getMessage()))))
                .flatMap(verdict -> {
                    Duration took =
                            context.environment().clock().monotonicTime().minus(begun);
                    context.targets().onCompleted(target, answeredWell(verdict), took);
                    return sendGuard.close() ? notSent(permit, verdict) : commitOutcome(verdict);
                });
    }

    /** What is left of the attempt; the wall clock may have jumped since it was committed. */
    private Duration timeout() {
        Duration left = Duration.between(wallTime(), message.deadline());
        Duration most = Duration.ofMillis(dispatcher.policy().terms(message).attemptMs());
        if (left.isNegative()) {
            return SHORTEST_TIMEOUT;
        }
        return left.compareTo(most) > 0 ? most : left;
    }

    private boolean mayStillSend() {
        String service = dispatcher.policy().terms(message).service();
        return dispatcher.isLeader()
                && ProcessorSelector.targets(dispatcher, service).contains(target);
    }

    private static boolean answeredWell(Verdict verdict) {
        return switch (verdict.kind()) {
            case OUTCOME_UNKNOWN, UNKNOWN_MESSAGE, RETRY -> false;
            default -> true;
        };
    }

    private Mono<Boolean> notSent(DeliveryPermit permit, Verdict verdict) {
        permit.release();
        return recordEnd(
                AttemptOutcome.NOT_SENT,
                "not sent: " + verdict.reason(),
                wallTime().plus(dispatcher.policy().shortRetryDelay()));
    }

    private Mono<Boolean> commitOutcome(Verdict verdict) {
        return switch (verdict.kind()) {
            case DONE -> recordEnd(AttemptOutcome.SUCCEEDED, verdict.reason(), wallTime());
            case REJECTED -> recordEnd(AttemptOutcome.FAILED, verdict.reason(), wallTime());
            case RETRY ->
                dispatcher.policy().attemptsLeft(message)
                        ? recordEnd(
                                AttemptOutcome.RETRY,
                                verdict.reason(),
                                wallTime().plus(dispatcher.policy().backoff(message.attemptsMade())))
                        : recordEnd(AttemptOutcome.FAILED, "attempts used up; last: " + verdict.reason(), wallTime());
            case UNKNOWN_MESSAGE ->
                recordEnd(
                        AttemptOutcome.NOT_SENT,
                        verdict.reason(),
                        wallTime().plus(dispatcher.policy().backoff(1)));
            case OUTCOME_UNKNOWN, RUNNING ->
                dispatcher.policy().resends(message) ? resend(verdict.reason()) : inquireLater();
        };
    }

    Mono<Boolean> recordEnd(AttemptOutcome outcome, String proof, Instant due) {
        MessageCommands.End end =
                new MessageCommands.End(message.handle(), message.attempt(), outcome, proof, due, wallTime());
        return dispatcher.context().recorder().record(dispatcher.partitionId(), end, message.processor());
    }

    /**
     * No back end can be asked: it is sent again once the attempt can do nothing more, or at once to a service that
     * gives a repeat its first success again.
     */
    Mono<Boolean> resend(String reason) {
        Duration wait = dispatcher.policy().deduplicates(message)
                ? dispatcher.policy().shortRetryDelay()
                : Duration.between(wallTime(), message.deadline()).plus(GRACE_AFTER_DEADLINE);
        return Delays.delay(dispatcher.context().environment().timers(), wait.isNegative() ? Duration.ZERO : wait)
                .then(Mono.defer(() -> recordEnd(
                        AttemptOutcome.OUTCOME_UNKNOWN,
                        "sent again: " + reason,
                        wallTime().plus(dispatcher.policy().shortRetryDelay()))));
    }

    /** Running by the log, but begun by an earlier leader, which may still forward the answer that it got. */
    Mono<Boolean> resumeAfterAdoption() {
        return dispatcher.policy().resends(message)
                ? Delays.delay(dispatcher.context().environment().timers(), ADOPTION_DELAY)
                        .then(Mono.defer(() -> resend("the leader changed")))
                : inquire();
    }

    private Mono<Boolean> inquireLater() {
        return Delays.delay(dispatcher.context().environment().timers(), INQUIRY_INTERVAL)
                .then(Mono.defer(this::inquire));
    }

    /** Never run again while the processor may still know of it: asks by message id. */
    Mono<Boolean> inquire() {
        if (!dispatcher.isLeader()) {
            return Mono.just(false);
        }
        boolean late = wallTime().isAfter(message.deadline());
        ProcessorStatus processor = dispatcher.processorStatus(message);
        if (late && processor.kind() == ProcessorStatus.Kind.GONE) {
            return outcomeUnknown("the processor is gone");
        }
        boolean mayRerun = dispatcher.policy().terms(message).rerun();
        if (late && processor.kind() == ProcessorStatus.Kind.PULLS && mayRerun) {
            return outcomeUnknown("no outcome before the deadline");
        }
        if (wallTime().isAfter(dispatcher.policy().expiry(message)) && mayEndUnproven(processor)) {
            return recordEnd(AttemptOutcome.FAILED, Message.OUTCOME_UNKNOWN_PREFIX + "time limit reached", wallTime());
        }
        Optional<DeliveryPermit> permit =
                processor.canBeAsked() ? dispatcher.acquireInquiryPermit(message) : Optional.empty();
        return permit.isPresent() ? inquire(processor, permit.get(), late) : inquireLater();
    }

    private Mono<Boolean> inquire(ProcessorStatus processor, DeliveryPermit permit, boolean late) {
        DeliveryClient.DeliveryRequest request = new DeliveryClient.DeliveryRequest(
                "GET",
                processor.address() + "/runs/" + message.handle() + "?attempt=" + message.attempt(),
                new byte[0],
                INQUIRY_TIMEOUT,
                () -> dispatcher.isLeader() && permit.spend());
        return dispatcher
                .context()
                .deliveryClient()
                .send(request)
                .map(response -> Verdict.ofInquiry(response, message.handle()))
                .onErrorResume(e -> Mono.just(new Verdict(Verdict.Kind.OUTCOME_UNKNOWN, "no answer")))
                .flatMap(verdict -> {
                    if (verdict.kind() == Verdict.Kind.UNKNOWN_MESSAGE) {
                        // a push still under way may arrive until the deadline
                        return late ? retry(verdict.reason()) : inquireLater();
                    }
                    return commitOutcome(verdict);
                });
    }

    /** The next of a key must not start while a listed processor may still run this one. */
    private boolean mayEndUnproven(ProcessorStatus processor) {
        return !message.ordered()
                || processor.kind() == ProcessorStatus.Kind.PULLS
                || processor.kind() == ProcessorStatus.Kind.GONE;
    }

    /** Nobody can say any more whether it was done: the lane's operator has said what then. */
    private Mono<Boolean> outcomeUnknown(String reason) {
        LOG.warn("The outcome of {} stays unknown: {}.", message.handle(), reason);
        return dispatcher.policy().terms(message).rerun()
                ? retry(reason)
                : recordEnd(AttemptOutcome.FAILED, Message.OUTCOME_UNKNOWN_PREFIX + reason, wallTime());
    }

    private Mono<Boolean> retry(String reason) {
        return dispatcher.policy().attemptsLeft(message)
                ? recordEnd(
                        AttemptOutcome.RETRY,
                        reason,
                        wallTime().plus(dispatcher.policy().backoff(1)))
                : recordEnd(AttemptOutcome.FAILED, "attempts used up; last: " + reason, wallTime());
    }
}
