package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.ThrottledException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.LocalBucket;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.Stage;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Takes submissions in: checked, then given a rate limit token, then forwarded; stages with bounded queues.
 * (docs/design.md, section 9.6)
 */
public final class Intake {
    /** How long a submission may take altogether. */
    static final Duration LIMIT = Duration.ofMillis(4000);

    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
    /** Where another partition may take it, no leader is waited for. */
    private static final Duration SHORT_WAIT = Duration.ofMillis(100);

    private static final Duration TROUBLED_WAIT = Duration.ofMillis(15);
    /** A token is waited for at most this fraction of the caller's patience. */
    private static final int TOKEN_WAIT_FRACTION = 16;

    private static final int QUEUE_DEPTH = 1024;
    private static final int FORWARDED_AT_ONCE = 256;
    private static final int ADMITTED_AT_ONCE = 4 * FORWARDED_AT_ONCE;

    private final NodeEnvironment environment;
    private final SubmissionValidator validator;
    private final LocalBuckets localBuckets;
    private final SubmitForwarder forwarder;
    private final SubmissionOutcomes outcomes;
    private final Stage<CheckedSubmission, AdmittedSubmission> admission;
    private final Stage<AdmittedSubmission, MessageCommands.Accepted> forwarding;

    /** The intake of one node. */
    public Intake(
            NodeEnvironment environment,
            ConfigurationView configurations,
            LocalBuckets localBuckets,
            SubmitForwarder forwarder) {
        this.environment = environment;
        this.validator = new SubmissionValidator(new RouteMatcher(configurations));
        this.localBuckets = localBuckets;
        this.forwarder = forwarder;
        this.outcomes = new SubmissionOutcomes(environment.clock());
        this.admission = new Stage<>("passes", QUEUE_DEPTH, ADMITTED_AT_ONCE, this::admit);
        this.forwarding = new Stage<>("hand-over", QUEUE_DEPTH, FORWARDED_AT_ONCE, this::forward);
    }

    /** Accepted, or a fault whose kind says whether it may have been taken. (docs/design.md, section 9.6) */
    public Mono<MessageCommands.Accepted> submit(Submission submission) {
        return taken(submission).doOnNext(accepted -> outcomes.onAccepted()).doOnError(outcomes::onFailure);
    }

    private Mono<MessageCommands.Accepted> taken(Submission submission) {
        try {
            return admission
                    .submit(validator.check(submission))
                    .flatMap(admitted -> forwarding.submit(admitted, () -> putBack(admitted)));
        } catch (ServiceException failure) {
            return Mono.error(failure);
        }
    }

    private Mono<AdmittedSubmission> admit(CheckedSubmission checked) {
        return admit(checked, partition(checked));
    }

    private Mono<AdmittedSubmission> admit(CheckedSubmission checked, String partition) {
        if (checked.tenant().isEmpty()) {
            Duration until = environment.clock().monotonicTime().plus(TokenMessages.TOKEN_LIFETIME);
            LocalBucket.AdmissionToken unlimited = new LocalBucket.AdmissionToken(TokenMessages.NO_GRANT, until);
            return Mono.just(new AdmittedSubmission(checked, unlimited, partition));
        }
        Duration longestWait = checked.submission().patience().dividedBy(TOKEN_WAIT_FRACTION);
        return localBuckets
                .take(ServiceNames.tenantBucket(checked.tenant()), longestWait)
                .map(token -> new AdmittedSubmission(checked, token, partition));
    }

    /**
     * By the ordering key, or by the id, which every repeat has. Where a repeat is never submitted anew (lanes with
     * doors) any partition does: one whose leader is near and in touch. (docs/design.md, section 9.13)
     */
    private String partition(CheckedSubmission checked) {
        Submission submission = checked.submission();
        if (!submission.orderKey().isEmpty()) {
            return ServiceNames.messagePartition(submission.lane(), submission.orderKey());
        }
        return checked.anyPartition()
                ? forwarder.selectHealthyPartition(submission.id())
                : ServiceNames.messagePartition(submission.lane(), submission.id());
    }

    private void putBack(AdmittedSubmission admitted) {
        localBuckets.returnToken(admitted.bucket(), admitted.token());
    }

    /** Key, lane and token are checked once more, right before each attempt (docs/design.md, section 9.7). */
    private Mono<MessageCommands.Accepted> forward(AdmittedSubmission admitted) {
        Duration until = environment
                .clock()
                .monotonicTime()
                .plus(limit(admitted.checked().submission()));
        return attempt(admitted, until, false);
    }

    /** What is not decided by half of the caller's patience is answered then, while there is time to come back. */
    private static Duration limit(Submission submission) {
        Duration patience = submission.patience();
        return patience.compareTo(LIMIT) >= 0 ? LIMIT : patience.dividedBy(2);
    }

    /**
     * A token covers an acceptance only while it lives: what is not decided by then is asked again, with the same
     * message id, under a new token and by the configuration of that time. (docs/design.md, section 8.5)
     */
    private Mono<MessageCommands.Accepted> attempt(
            AdmittedSubmission admitted, Duration until, boolean outcomeUnknown) {
        MessageCommands.Accept command;
        try {
            command = command(admitted);
        } catch (ServiceException failure) {
            putBack(admitted);
            return Mono.error(definite(failure, outcomeUnknown));
        }
        String partition = admitted.partition();
        Duration tokenLife = admitted.token().until().minus(environment.clock().monotonicTime());
        return forwarder
                .callWithDeadline(
                        partition,
                        deadline -> new MessageCommands.AcceptRequest(partition, command, deadline),
                        MessageCommands.Accepted.class,
                        leaderWait(admitted, tokenLife))
                .doOnNext(accepted -> settle(admitted, accepted))
                .onErrorResume(error -> failed(admitted, until, outcomeUnknown, ServiceException.of(error)));
    }

    private MessageCommands.Accept command(AdmittedSubmission admitted) throws ServiceException {
        Configuration.Lane lane = validator.recheck(admitted.checked());
        if (!localBuckets.isValid(admitted.token())) {
            throw new ThrottledException("The pass died while waiting.");
        }
        return admitted.checked().command(lane, environment.clock().wallTime());
    }

    private Mono<MessageCommands.Accepted> failed(
            AdmittedSubmission admitted, Duration until, boolean outcomeUnknown, ServiceException failure) {
        boolean unknownByNow = outcomeUnknown || !failure.kind().definite();
        if (failure.kind().definite()) {
            putBack(admitted);
        } else {
            localBuckets.markSpent(admitted.bucket(), admitted.token());
        }
        CheckedSubmission checked = admitted.checked();
        Optional<String> other = unknownByNow ? Optional.empty() : otherPartition(admitted, failure);
        if (other.isPresent()) {
            return admit(checked, other.get()).flatMap(next -> attempt(next, until, false));
        }
        boolean mayRepeat = unknownByNow || failure.kind() == ErrorKind.UNAVAILABLE && !checked.anyPartition();
        boolean inTime = environment.clock().monotonicTime().compareTo(until) < 0;
        if (!mayRepeat || localBuckets.isValid(admitted.token()) || !inTime) {
            return Mono.error(definite(failure, unknownByNow));
        }
        return Delays.delay(environment.timers(), RETRY_PAUSE)
                .then(admit(checked, admitted.partition()))
                .flatMap(next -> attempt(next, until, unknownByNow))
                .onErrorMap(error -> definite(error, unknownByNow));
    }

    /**
     * A partition that may change leaders in order is waited for shortly; one with failures is not. (docs/design.md,
     * section 9.13)
     */
    private Duration leaderWait(AdmittedSubmission admitted, Duration tokenLife) {
        if (!admitted.checked().anyPartition()) {
            return tokenLife;
        }
        return forwarder.isUnhealthy(admitted.partition()) ? TROUBLED_WAIT : SHORT_WAIT;
    }

    /** Another partition, where the submission was certainly not taken and any partition may take it. */
    private Optional<String> otherPartition(AdmittedSubmission admitted, ServiceException failure) {
        Submission submission = admitted.checked().submission();
        boolean movable = admitted.checked().anyPartition()
                && submission.orderKey().isEmpty()
                && failure.kind() == ErrorKind.UNAVAILABLE;
        return movable
                ? Optional.of(forwarder.selectHealthyPartition(submission.id()))
                        .filter(p -> !p.equals(admitted.partition()))
                : Optional.empty();
    }

    /** A definite refusal now says nothing of an earlier unknown attempt. */
    private static Throwable definite(Throwable error, boolean outcomeUnknown) {
        return outcomeUnknown && ServiceException.of(error).kind().definite()
                ? new OutcomeUnknownException("It is not known whether this was taken; ask with the same id.")
                : error;
    }

    /** A repeated submission was accepted before and has paid then. */
    private void settle(AdmittedSubmission admitted, MessageCommands.Accepted accepted) {
        if (accepted.repeated()) {
            putBack(admitted);
        } else {
            localBuckets.markSpent(admitted.bucket(), admitted.token());
        }
    }
}
