package org.woadvale.dataplane.delivery;

import java.util.Optional;
import org.woadvale.common.error.ForbiddenException;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;
import org.woadvale.dataplane.queue.MessageCommands.End;
import org.woadvale.dataplane.queue.MessageCommands.OutcomeReport;
import org.woadvale.dataplane.queue.MessageCommands.TransitionResult;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import reactor.core.publisher.Mono;

/**
 * Commits the outcomes of attempts that processors and other nodes report. A processor may end only attempts of its own
 * service that were given to it; a report without a service is from a node and is not checked.
 */
final class OutcomeReportHandler {
    private static final String ATTEMPTS_USED_UP = "attempts used up";

    private final DispatchContext context;
    private final DeliveryPolicy policy;

    OutcomeReportHandler(DispatchContext context) {
        this.context = context;
        this.policy = new DeliveryPolicy(context);
    }

    void route(RpcRouter router) {
        router.on(
                OutcomeReport.class,
                (f, report) -> context.partitions()
                        .partition(report.partition())
                        .flatMap(partition -> handle(partition, report)));
    }

    private Mono<TransitionResult> handle(MessagePartition partition, OutcomeReport report) {
        return partition
                .replica()
                .read(i -> partition.stateMachine().get(report.end().handle()))
                .flatMap(message -> commit(partition, report, message));
    }

    private Mono<TransitionResult> commit(MessagePartition partition, OutcomeReport report, Optional<Message> message) {
        if (message.isPresent() && isFromProcessor(report)) {
            if (!mayEnd(report, message.get())) {
                return Mono.error(new ForbiddenException("This attempt was not given to " + report.processor() + "."));
            }
            if (isRetryWithoutAttemptsLeft(report, message.get())) {
                return propose(partition, failed(report.end()));
            }
        }
        return propose(partition, report.end());
    }

    private static boolean isFromProcessor(OutcomeReport report) {
        return !report.service().isEmpty();
    }

    private boolean mayEnd(OutcomeReport report, Message message) {
        boolean ownService = policy.isOfService(message, report.service());
        boolean latestAttempt = report.end().attempt() == message.attempt();
        return ownService && (!latestAttempt || report.processor().equals(message.processor()));
    }

    private boolean isRetryWithoutAttemptsLeft(OutcomeReport report, Message message) {
        return report.end().outcome() == AttemptOutcome.RETRY && !policy.attemptsLeft(message);
    }

    private static End failed(End end) {
        return new End(end.handle(), end.attempt(), AttemptOutcome.FAILED, ATTEMPTS_USED_UP, end.due(), end.at());
    }

    private static Mono<TransitionResult> propose(MessagePartition partition, End end) {
        return partition.replica().propose(end, TransitionResult.class);
    }
}
