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
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Processes submissions in stages with bounded queues: checks them, acquires a rate limit token and forwards them to the
 * leader of a partition. (docs/design.md, section 9.6)
 */
public final class Intake {
    /** Total time limit of a submission. */
    static final Duration TIME_LIMIT = Duration.ofMillis(4000);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    /** How long to wait for a leader if another partition may accept the submission instead. */
    private static final Duration LEADER_WAIT = Duration.ofMillis(100);

    private static final Duration UNHEALTHY_WAIT = Duration.ofMillis(15);
    /** The wait for a token is limited to the caller's timeout divided by this. */
    private static final int TOKEN_WAIT_DIVISOR = 16;

    private static final int QUEUE_DEPTH = 1024;
    private static final int MAX_CONCURRENT_FORWARDS = 256;
    private static final int MAX_CONCURRENT_ADMISSIONS = 4 * MAX_CONCURRENT_FORWARDS;

    private final NodeEnvironment environment;
    private final SubmissionValidator validator;
    private final LocalBuckets localBuckets;
    private final PartitionClient forwarder;
    private final SubmissionOutcomes outcomes;
    private final Stage<CheckedSubmission, AdmittedSubmission> admission;
    private final Stage<AdmittedSubmission, MessageCommands.Accepted> forwarding;

    /** The intake of one node. */
    public Intake(
            NodeEnvironment environment,
            ConfigurationView configurations,
            LocalBuckets localBuckets,
            PartitionClient forwarder) {
        this.environment = environment;
        this.validator = new SubmissionValidator(new RouteMatcher(configurations));
        this.localBuckets = localBuckets;
        this.forwarder = forwarder;
        this.outcomes = new SubmissionOutcomes(environment.clock());
        this.admission = new Stage<>("passes", QUEUE_DEPTH, MAX_CONCURRENT_ADMISSIONS, this::admit);
        this.forwarding = new Stage<>("hand-over", QUEUE_DEPTH, MAX_CONCURRENT_FORWARDS, this::forward);
    }

    /**
     * Submits a message. The kind of a failure says whether the message may have been accepted all the same.
     * (docs/design.md, section 9.6)
     */
    public Mono<MessageCommands.Accepted> submit(Submission submission) {
        return process(submission).doOnNext(accepted -> outcomes.onAccepted()).doOnError(outcomes::onFailure);
    }

    private Mono<MessageCommands.Accepted> process(Submission submission) {
        try {
            return admission
                    .submit(validator.check(submission))
                    .flatMap(admitted -> forwarding.submit(admitted, () -> returnToken(admitted)));
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
        Duration longestWait = checked.submission().patience().dividedBy(TOKEN_WAIT_DIVISOR);
        return localBuckets
                .take(ServiceNames.tenantBucket(checked.tenant()), longestWait)
                .map(token -> new AdmittedSubmission(checked, token, partition));
    }

    /**
     * Selects the partition by the ordering key, or else by the id, which is the same for every repeat. On lanes with
     * HTTP routes a repeat is a new message, so any partition will do: one with a reachable leader, preferably in this
     * zone. (docs/design.md, section 9.13)
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

    private void returnToken(AdmittedSubmission admitted) {
        localBuckets.returnToken(admitted.bucket(), admitted.token());
    }

    /** Forwards the submission; each attempt rechecks key, lane and token first (docs/design.md, section 9.7). */
    private Mono<MessageCommands.Accepted> forward(AdmittedSubmission admitted) {
        Duration until = environment
                .clock()
                .monotonicTime()
                .plus(timeLimit(admitted.checked().submission()));
        return attempt(admitted, until, false);
    }

    /** A submission still undecided after half of the caller's timeout fails then, so that the caller can retry in time. */
    private static Duration timeLimit(Submission submission) {
        Duration patience = submission.patience();
        return patience.compareTo(TIME_LIMIT) >= 0 ? TIME_LIMIT : patience.dividedBy(2);
    }

    /**
     * A token covers an acceptance only until it expires. A submission that is undecided by then is sent again with the
     * same message id, a new token and the configuration of that time. (docs/design.md, section 8.5)
     */
    private Mono<MessageCommands.Accepted> attempt(
            AdmittedSubmission admitted, Duration until, boolean outcomeUnknown) {
        MessageCommands.Accept command;
        try {
            command = command(admitted);
        } catch (ServiceException failure) {
            returnToken(admitted);
            return Mono.error(keepUnknownOutcome(failure, outcomeUnknown));
        }
        String partition = admitted.partition();
        Duration tokenLifetime =
                admitted.token().until().minus(environment.clock().monotonicTime());
        return forwarder
                .callWithDeadline(
                        partition,
                        deadline -> new MessageCommands.AcceptRequest(partition, command, deadline),
                        MessageCommands.Accepted.class,
                        leaderWait(admitted, tokenLifetime))
                .doOnNext(accepted -> settle(admitted, accepted))
                .onErrorResume(error -> onFailedAttempt(admitted, until, outcomeUnknown, ServiceException.of(error)));
    }

    private MessageCommands.Accept command(AdmittedSubmission admitted) throws ServiceException {
        Configuration.Lane lane = validator.recheck(admitted.checked());
        if (!localBuckets.isValid(admitted.token())) {
            throw new ThrottledException("The pass died while waiting.");
        }
        return admitted.checked().command(lane, environment.clock().wallTime());
    }

    private Mono<MessageCommands.Accepted> onFailedAttempt(
            AdmittedSubmission admitted, Duration until, boolean outcomeUnknown, ServiceException failure) {
        boolean nowUnknown = outcomeUnknown || !failure.kind().definite();
        if (failure.kind().definite()) {
            returnToken(admitted);
        } else {
            localBuckets.markSpent(admitted.bucket(), admitted.token());
        }
        CheckedSubmission checked = admitted.checked();
        Optional<String> alternative = nowUnknown ? Optional.empty() : otherPartition(admitted, failure);
        if (alternative.isPresent()) {
            return admit(checked, alternative.get()).flatMap(next -> attempt(next, until, false));
        }
        boolean retryable = nowUnknown || failure.kind() == ErrorKind.UNAVAILABLE && !checked.anyPartition();
        boolean inTime = environment.clock().monotonicTime().compareTo(until) < 0;
        if (!retryable || localBuckets.isValid(admitted.token()) || !inTime) {
            return Mono.error(keepUnknownOutcome(failure, nowUnknown));
        }
        return Delays.delay(environment.timers(), RETRY_DELAY)
                .then(admit(checked, admitted.partition()))
                .flatMap(next -> attempt(next, until, nowUnknown))
                .onErrorMap(error -> keepUnknownOutcome(error, nowUnknown));
    }

    /**
     * How long to wait for a leader of the partition: longer if leadership may only be changing hands, as planned, than
     * if calls to the partition failed lately. (docs/design.md, section 9.13)
     */
    private Duration leaderWait(AdmittedSubmission admitted, Duration tokenLifetime) {
        if (!admitted.checked().anyPartition()) {
            return tokenLifetime;
        }
        return forwarder.isUnhealthy(admitted.partition()) ? UNHEALTHY_WAIT : LEADER_WAIT;
    }

    /** Returns another partition if the submission was definitely not accepted and any partition may accept it. */
    private Optional<String> otherPartition(AdmittedSubmission admitted, ServiceException failure) {
        Submission submission = admitted.checked().submission();
        boolean movable = admitted.checked().anyPartition()
                && submission.orderKey().isEmpty()
                && failure.kind() == ErrorKind.UNAVAILABLE;
        return movable
                ? Optional.of(forwarder.selectHealthyPartition(submission.id()))
                        .filter(partition -> !partition.equals(admitted.partition()))
                : Optional.empty();
    }

    /** A definite rejection does not settle an earlier attempt whose outcome is unknown. */
    private static Throwable keepUnknownOutcome(Throwable error, boolean outcomeUnknown) {
        return outcomeUnknown && ServiceException.of(error).kind().definite()
                ? new OutcomeUnknownException("It is not known whether this was taken; ask with the same id.")
                : error;
    }

    /** Returns the token of a repeated submission, which was charged when it was first accepted. */
    private void settle(AdmittedSubmission admitted, MessageCommands.Accepted accepted) {
        if (accepted.repeated()) {
            returnToken(admitted);
        } else {
            localBuckets.markSpent(admitted.bucket(), admitted.token());
        }
    }
}
