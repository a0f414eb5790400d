package org.woadvale.dataplane.delivery;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Records the end of an attempt with the current leader of its partition, retrying until it is committed.
 * (docs/design.md, section 9.3)
 */
public final class OutcomeRecorder {
    private static final Logger LOG = LogManager.getLogger(OutcomeRecorder.class);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration GIVE_UP_AFTER = Duration.ofMinutes(10);
    private final NodeEnvironment environment;
    private final PartitionClient forwarder;

    /** Creates a recorder that sends to the leaders of partitions through the forwarder. */
    public OutcomeRecorder(NodeEnvironment environment, PartitionClient forwarder) {
        this.environment = environment;
        this.forwarder = forwarder;
    }

    /** Records the end of an attempt; false if it was not applied or recording was given up. */
    public Mono<Boolean> record(String partition, MessageCommands.End end, String processor) {
        return record(
                partition, end, processor, environment.clock().monotonicTime().plus(GIVE_UP_AFTER));
    }

    private Mono<Boolean> record(String partition, MessageCommands.End end, String processor, Duration giveUpAt) {
        MessageCommands.OutcomeReport request = new MessageCommands.OutcomeReport(partition, end, processor, "");
        return forwarder
                .call(partition, request, MessageCommands.TransitionResult.class, ATTEMPT_TIMEOUT)
                .map(MessageCommands.TransitionResult::applied)
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    if (failure.kind() == ErrorKind.NOT_FOUND) {
                        return Mono.just(false);
                    }
                    if (environment.clock().monotonicTime().compareTo(giveUpAt) >= 0) {
                        LOG.error("Gave up recording the outcome of {}: {}", end.handle(), failure.getMessage());
                        return Mono.just(false);
                    }
                    return Delays.delay(environment.timers(), RETRY_PAUSE)
                            .then(Mono.defer(() -> record(partition, end, processor, giveUpAt)));
                });
    }
}
