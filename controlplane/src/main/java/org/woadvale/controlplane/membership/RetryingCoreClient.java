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
 * Sends operators' requests to the leader of a control partition and retries for a limited time while no leader
 * answers. The requests are repeatable by their type, so one whose outcome is unknown is resent until its definite
 * answer is known. A machine without contact to a majority of the core sends nothing and fails fast.
 */
public final class RetryingCoreClient {
    /** Less than the second of silence after which an operator tries another machine. */
    private static final Duration CONTACT_LIMIT = Duration.ofMillis(900);
    /** How long to wait for contact, which the election of a leader or a late heartbeat may restore. */
    private static final Duration NO_CONTACT_LIMIT = Duration.ofMillis(150);

    private static final Duration CONTACT_CHECK = Duration.ofMillis(50);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

    /** The state of one request; an attempt that is pending or whose outcome is unknown may have been applied. */
    private static final class Progress {
        volatile boolean maybeApplied;
    }

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final BooleanSupplier inContact;
    /**
     * Whether the last request got no answer in time. Heartbeats may still arrive then: with an asymmetric partition,
     * only outgoing messages are lost.
     */
    private volatile boolean unanswered;

    /**
     * Creates the client of one control node.
     *
     * @param inContact whether this node is in contact with a majority of the core
     */
    public RetryingCoreClient(NodeEnvironment environment, CoreClient core, BooleanSupplier inContact) {
        this.environment = environment;
        this.core = core;
        this.inContact = inContact;
    }

    /**
     * Returns the response of the partition's leader, or fails at most one second after the call: with {@link
     * ErrorKind#UNAVAILABLE} if nothing was sent for lack of contact, with {@link ErrorKind#UNKNOWN_OUTCOME} if an
     * attempt may have been applied and none got a definite answer in time, otherwise with the error of the last
     * attempt.
     */
    public <T> Mono<T> call(String partition, RepeatableRequest request, Class<T> responseType) {
        return Mono.defer(() -> {
            Duration arrived = now();
            Duration deadline = arrived.plus(unanswered ? NO_CONTACT_LIMIT : CONTACT_LIMIT);
            Progress progress = new Progress();
            return awaitContact(arrived.plus(NO_CONTACT_LIMIT))
                    .then(Mono.defer(() ->
                            inTime(attempt(partition, request, responseType, deadline, progress), deadline, progress)));
        });
    }

    private Mono<Boolean> awaitContact(Duration deadline) {
        return Mono.defer(() -> {
            if (inContact.getAsBoolean()) {
                return Mono.just(true);
            } else if (now().compareTo(deadline) >= 0) {
                return Mono.error(new UnavailableException(
                        "This machine has no contact with a majority of the core; nothing was changed."));
            }
            return Delays.delay(environment.timers(), CONTACT_CHECK).then(awaitContact(deadline));
        });
    }

    /**
     * Discards a response that comes after the deadline. The deadline is checked again when the response arrives, since
     * the process may have been paused in between.
     */
    private <T> Mono<T> inTime(Mono<T> work, Duration deadline, Progress progress) {
        Mono<T> answered = work.flatMap(answer -> {
            boolean late = now().compareTo(deadline) >= 0;
            unanswered = late;
            return late ? Mono.error(unknownOutcome()) : Mono.just(answer);
        });
        return Mono.firstWithSignal(answered, contactLost(deadline, progress));
    }

    private <T> Mono<T> contactLost(Duration deadline, Progress progress) {
        return Mono.defer(() -> {
            boolean late = now().compareTo(deadline) >= 0;
            unanswered = unanswered || late && progress.maybeApplied;
            if (late || !inContact.getAsBoolean()) {
                return Mono.error(progress.maybeApplied ? unknownOutcome() : noLeader());
            }
            return Delays.delay(environment.timers(), CONTACT_CHECK).then(contactLost(deadline, progress));
        });
    }

    private <T> Mono<T> attempt(
            String partition, RepeatableRequest request, Class<T> responseType, Duration deadline, Progress progress) {
        boolean maybeAppliedBefore = progress.maybeApplied;
        progress.maybeApplied = true;
        return core.ask(partition, request, responseType).onErrorResume(error -> {
            ServiceException failure = ServiceException.of(error);
            if (!ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(failure.kind())) {
                return Mono.error(failure);
            }
            boolean maybeAppliedNow = maybeAppliedBefore || failure.kind() == ErrorKind.UNKNOWN_OUTCOME;
            progress.maybeApplied = maybeAppliedNow;
            if (now().compareTo(deadline) >= 0) {
                return Mono.error(maybeAppliedNow ? unknownOutcome() : failure);
            }
            return Delays.delay(environment.timers(), RETRY_PAUSE)
                    .then(Mono.defer(() -> attempt(partition, request, responseType, deadline, progress)));
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
