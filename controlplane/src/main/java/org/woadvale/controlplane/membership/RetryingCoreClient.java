package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.runtime.Delays;
import reactor.core.publisher.Mono;

/**
 * Sends operators' requests to the leader of a control partition and repeats them for a while when no leader answers.
 * They are repeatable by their type, so one whose outcome is unknown is repeated for its definite answer. A machine
 * without contact to a majority of the core sends nothing and says so at once.
 */
public final class RetryingCoreClient {
    /** An operator goes on to another machine after a second of silence. */
    private static final Duration CONTACT_LIMIT = Duration.ofMillis(900);
    /** Contact may come back, by the election of a leader or by a late heartbeat. */
    private static final Duration NO_CONTACT_LIMIT = Duration.ofMillis(150);

    private static final Duration CONTACT_CHECK = Duration.ofMillis(50);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

    /** One request on its way; an attempt that is open, or whose outcome is unknown, may have been applied. */
    private static final class Progress {
        volatile boolean maybeApplied;
    }

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final BooleanSupplier inContact;
    /** What leaves here may not arrive although heartbeats still come in: a link that is partitioned one way. */
    private volatile boolean unanswered;

    /**
     * Requests from one control node.
     *
     * @param inContact whether this node is in contact with a majority of the core
     */
    public RetryingCoreClient(NodeEnvironment environment, CoreClient core, BooleanSupplier inContact) {
        this.environment = environment;
        this.core = core;
        this.inContact = inContact;
    }

    /**
     * Answers as the partition's leader does, and never later than a second after the call. Fails with {@link
     * ErrorKind#UNAVAILABLE} if nothing was sent for lack of contact, with {@link ErrorKind#UNKNOWN_OUTCOME} if any of
     * the attempts may have been applied and none gave a definite answer in time, else with the error of the last
     * attempt.
     */
    public <T> Mono<T> call(String partition, RepeatableRequest request, Class<T> responseType) {
        return Mono.defer(() -> {
            Duration arrived = now();
            Duration until = arrived.plus(unanswered ? NO_CONTACT_LIMIT : CONTACT_LIMIT);
            Progress progress = new Progress();
            return awaitContact(arrived.plus(NO_CONTACT_LIMIT))
                    .then(Mono.defer(
                            () -> inTime(attempt(partition, request, responseType, until, progress), until, progress)));
        });
    }

    private Mono<Boolean> awaitContact(Duration until) {
        return Mono.defer(() -> {
            if (inContact.getAsBoolean()) {
                return Mono.just(true);
            } else if (now().compareTo(until) >= 0) {
                return Mono.error(new UnavailableException(
                        "This machine has no contact with a majority of the core; nothing was changed."));
            }
            return Delays.delay(environment.timers(), CONTACT_CHECK).then(awaitContact(until));
        });
    }

    /** An answer counts only before its limit, also on a machine that was frozen since: the limit is checked again. */
    private <T> Mono<T> inTime(Mono<T> work, Duration until, Progress progress) {
        Mono<T> answered = work.flatMap(answer -> {
            boolean late = now().compareTo(until) >= 0;
            unanswered = late;
            return late ? Mono.error(unknownOutcome()) : Mono.just(answer);
        });
        return Mono.firstWithSignal(answered, contactLost(until, progress));
    }

    private <T> Mono<T> contactLost(Duration until, Progress progress) {
        return Mono.defer(() -> {
            boolean late = now().compareTo(until) >= 0;
            unanswered = unanswered || late && progress.maybeApplied;
            if (late || !inContact.getAsBoolean()) {
                return Mono.error(progress.maybeApplied ? unknownOutcome() : noLeader());
            }
            return Delays.delay(environment.timers(), CONTACT_CHECK).then(contactLost(until, progress));
        });
    }

    private <T> Mono<T> attempt(
            String partition, RepeatableRequest request, Class<T> responseType, Duration until, Progress progress) {
        boolean unknownBefore = progress.maybeApplied;
        progress.maybeApplied = true;
        return core.ask(partition, request, responseType).onErrorResume(error -> {
            ServiceException failure = ServiceException.of(error);
            if (!ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(failure.kind())) {
                return Mono.error(failure);
            }
            boolean unknownByNow = unknownBefore || failure.kind() == ErrorKind.UNKNOWN_OUTCOME;
            progress.maybeApplied = unknownByNow;
            if (now().compareTo(until) >= 0) {
                return Mono.error(unknownByNow ? unknownOutcome() : failure);
            }
            return Delays.delay(environment.timers(), RETRY_PAUSE)
                    .then(Mono.defer(() -> attempt(partition, request, responseType, until, progress)));
        });
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    private static ServiceException noLeader() {
        return new UnavailableException("No leader of the partition could be reached.");
    }

    private static ServiceException unknownOutcome() {
        return new OutcomeUnknownException(
                "It is not known whether this was taken; ask again with the same request id.");
    }
}
