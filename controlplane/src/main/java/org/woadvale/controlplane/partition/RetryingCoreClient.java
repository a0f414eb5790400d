package org.woadvale.controlplane.partition;

import java.time.Duration;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.replication.Env;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/**
 * Sends operators' requests to the leader of a control partition and repeats them for a while when no leader answers.
 * They are repeatable by their type, so one whose outcome is unknown is repeated for its definite answer. design 6.4
 */
final class RetryingCoreClient {
    private static final Duration RETRY_LIMIT = Duration.ofMillis(2500);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

    private final Env env;
    private final CoreClient core;

    RetryingCoreClient(Env env, CoreClient core) {
        this.env = env;
        this.core = core;
    }

    /**
     * Answers as the partition's leader does. Fails with {@link ErrorKind#UNKNOWN_OUTCOME} if any of the tries may have
     * been applied and none gave a definite answer in time; otherwise with the error of the last try.
     */
    <T> Mono<T> ask(String partition, RepeatableRequest request, Class<T> responseType) {
        return attempt(partition, request, responseType, env.times().mono().plus(RETRY_LIMIT), false);
    }

    private <T> Mono<T> attempt(
            String partition,
            RepeatableRequest request,
            Class<T> responseType,
            Duration until,
            boolean outcomeUnknown) {
        return core.ask(partition, request, responseType).onErrorResume(error -> {
            ServiceException failure = ServiceException.of(error);
            if (!ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(failure.kind())) {
                return Mono.error(failure);
            }
            boolean unknownByNow = outcomeUnknown || failure.kind() == ErrorKind.UNKNOWN_OUTCOME;
            if (env.times().mono().compareTo(until) >= 0) {
                return Mono.error(unknownByNow ? unknownOutcome() : failure);
            }
            return Delays.pause(env.schedules(), RETRY_PAUSE)
                    .then(Mono.defer(() -> attempt(partition, request, responseType, until, unknownByNow)));
        });
    }

    private static ServiceException unknownOutcome() {
        return new ServiceException(
                ErrorKind.UNKNOWN_OUTCOME,
                "It is not known whether this was taken; ask again with the same request id.");
    }
}
