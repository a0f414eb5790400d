package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;
import reactor.core.publisher.Mono;

/**
 * One attempt to deliver a message, from its committed start to its committed end. A message that may have been
 * executed is not attempted again until it is known that it was not, unless its lane allows that.
 */
final class DeliveryAttempt {
    private static final Logger LOG = LogManager.getLogger(DeliveryAttempt.class);
    private static final Duration INQUIRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration INQUIRY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration GRACE_AFTER_DEADLINE = Duration.ofMillis(250);
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
    private static final Duration ADOPTION_DELAY = Duration.ofMillis(300);
    private static final String LEADER_CHANGED = "the leader changed";

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

    /**
     * Checks leadership, the processor list and the permit once the connection is open, right before the message is
     * sent.
     */
    Mono<Boolean> push(DeliveryPermit permit) {
        DispatchContext context = dispatcher.context();
        Duration startedAt = context.environment().clock().monotonicTime();
        SendGuard sendGuard = new SendGuard();
        DeliveryClient.DeliveryRequest request = context.protocol()
                .createPushRequest(
                        message, target, timeout(), () -> sendGuard.trySend(() -> mayStillSend() && permit.spend()));
        return context.deliveryClient()
                .send(request)
                .takeUntilOther(dispatcher.breakOff())
                .switchIfEmpty(Mono.error(new OutcomeUnknownException("The store stops.")))
                .map(response -> context.protocol().classifyResponse(message, response))
                .onErrorResume(
                        e -> Mono.just(new Verdict(Verdict.Kind.OUTCOME_UNKNOWN, String.valueOf(e.getMessage()))))
                .flatMap(verdict -> {
                    Duration elapsed =
                            context.environment().clock().monotonicTime().minus(startedAt);
                    context.targets().onCompleted(target, isHealthyResponse(verdict), elapsed);
                    return sendGuard.close() ? recordNotSent(permit, verdict) : commitOutcome(verdict);
                });
    }

    /**
     * The time that is left for the attempt, limited by its configured duration because the wall clock may have jumped
     * since the start was committed.
     */
    private Duration timeout() {
        Duration remaining = Duration.between(wallTime(), message.deadline());
        if (remaining.isNegative()) {
            return MIN_TIMEOUT;
        }
        return remaining.compareTo(attemptLimit()) > 0 ? attemptLimit() : remaining;
    }

    private Duration attemptLimit() {
        return Duration.ofMillis(dispatcher.policy().terms(message).attemptMs());
    }

    private boolean mayStillSend() {
        String service = dispatcher.policy().terms(message).service();
        return dispatcher.isLeader()
                && ProcessorSelector.targets(dispatcher, service).contains(target);
    }

    private static boolean isHealthyResponse(Verdict verdict) {
        return switch (verdict.kind()) {
            case OUTCOME_UNKNOWN, UNKNOWN_MESSAGE, RETRY -> false;
            default -> true;
        };
    }

    private Mono<Boolean> recordNotSent(DeliveryPermit permit, Verdict verdict) {
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
     * Sends the message again, as back ends cannot be asked for its outcome: after the deadline of the attempt, or at
     * once to a service that answers a repeated message with its first success. Only the leader decides this: a store
     * that has lost the leadership reports what it knows and leaves the rest to its successor.
     */
    Mono<Boolean> resend(String reason) {
        if (!dispatcher.isLeader()) {
            return Mono.just(false);
        }
        Duration wait = dispatcher.policy().deduplicates(message)
                ? dispatcher.policy().shortRetryDelay()
                : untilRunsHaveEnded();
        return Delays.delay(dispatcher.context().environment().timers(), wait)
                .then(Mono.defer(() -> dispatcher.isLeader()
                        ? recordEnd(
                                AttemptOutcome.OUTCOME_UNKNOWN,
                                "sent again: " + reason,
                                wallTime().plus(dispatcher.policy().shortRetryDelay()))
                        : Mono.just(false)));
    }

    /** The time until no processor works on the attempt any more. */
    private Duration untilRunsHaveEnded() {
        Duration remaining = Duration.between(wallTime(), message.deadline());
        Duration wait =
                (remaining.compareTo(attemptLimit()) > 0 ? attemptLimit() : remaining).plus(GRACE_AFTER_DEADLINE);
        return wait.isNegative() ? Duration.ZERO : wait;
    }

    /**
     * Resumes an attempt that is running according to the log but was started by an earlier leader, which may still
     * forward the response that it received.
     */
    Mono<Boolean> resumeAfterAdoption() {
        if (!dispatcher.policy().resends(message)) {
            return inquire();
        }
        return dispatcher.policy().deduplicates(message)
                ? Delays.delay(dispatcher.context().environment().timers(), ADOPTION_DELAY)
                        .then(Mono.defer(() -> resend(LEADER_CHANGED)))
                : new FormerLeaders(dispatcher, message)
                        .awaitEnd(untilRunsHaveEnded())
                        .flatMap(ended -> ended ? resend(LEADER_CHANGED) : Mono.just(false));
    }

    private Mono<Boolean> inquireLater() {
        return Delays.delay(dispatcher.context().environment().timers(), INQUIRY_INTERVAL)
                .then(Mono.defer(this::inquire));
    }

    /**
     * Asks the processor for the outcome by message id. The message is not run again while the processor may still know
     * of it.
     */
    Mono<Boolean> inquire() {
        if (!dispatcher.isLeader()) {
            return Mono.just(false);
        }
        boolean pastDeadline = wallTime().isAfter(message.deadline());
        ProcessorStatus processor = dispatcher.processorStatus(message);
        if (pastDeadline && processor.kind() == ProcessorStatus.Kind.GONE) {
            return outcomeUnknown("the processor is gone");
        }
        boolean mayRerun = dispatcher.policy().terms(message).rerun();
        if (pastDeadline && processor.kind() == ProcessorStatus.Kind.PULLS && mayRerun) {
            return outcomeUnknown("no outcome before the deadline");
        }
        if (wallTime().isAfter(dispatcher.policy().expiry(message)) && mayEndWithoutProof(processor)) {
            return recordEnd(AttemptOutcome.FAILED, Message.OUTCOME_UNKNOWN_PREFIX + "time limit reached", wallTime());
        }
        Optional<DeliveryPermit> permit =
                processor.canBeAsked() ? dispatcher.acquireInquiryPermit(message) : Optional.empty();
        return permit.isPresent() ? inquire(processor, permit.get(), pastDeadline) : inquireLater();
    }

    private Mono<Boolean> inquire(ProcessorStatus processor, DeliveryPermit permit, boolean pastDeadline) {
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
                        // a push in transit may still arrive until the deadline
                        return pastDeadline ? retry(verdict.reason()) : inquireLater();
                    }
                    return commitOutcome(verdict);
                });
    }

    /** The next message of an ordering key must not start while a listed processor may still run this one. */
    private boolean mayEndWithoutProof(ProcessorStatus processor) {
        return !message.ordered()
                || processor.kind() == ProcessorStatus.Kind.PULLS
                || processor.kind() == ProcessorStatus.Kind.GONE;
    }

    /**
     * The outcome can no longer be found out: the configuration of the lane decides whether the message is run again or
     * fails.
     */
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
