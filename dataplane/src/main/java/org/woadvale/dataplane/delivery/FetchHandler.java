package org.woadvale.dataplane.delivery;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.woadvale.common.error.ForbiddenException;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;
import org.woadvale.dataplane.queue.MessageCommands.End;
import org.woadvale.dataplane.queue.MessageCommands.FetchRequest;
import org.woadvale.dataplane.queue.MessageCommands.FetchResponse;
import org.woadvale.dataplane.queue.MessageCommands.Start;
import org.woadvale.dataplane.queue.MessageCommands.TransitionResult;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Answers a fetch with messages of one partition that are due: each attempt is committed first, then the processor's
 * listing, the leadership and the permit are checked again, then the message is handed out.
 */
final class FetchHandler {
    /** The maximum number of messages that one fetch examines in each lane. */
    private static final int MAX_SCANNED = 64;

    private static final String NOT_SENT = "not sent";

    private final DispatchContext context;
    private final DeliveryPolicy policy;
    private final AtomicInteger rotations = new AtomicInteger();

    FetchHandler(DispatchContext context) {
        this.context = context;
        this.policy = new DeliveryPolicy(context);
    }

    void route(RpcRouter router) {
        router.on(
                FetchRequest.class,
                (f, request) -> context.partitions()
                        .partition(request.partition())
                        .flatMap(partition -> context.partitions()
                                .requireNotExpired(request.deadline())
                                .then(Mono.defer(() -> fetch(partition, request)))));
    }

    private Mono<FetchResponse> fetch(MessagePartition partition, FetchRequest request) {
        return partition.replica().read(i -> i).flatMap(i -> {
            if (!mayReceive(request)) {
                return Mono.error(new ForbiddenException("The processor " + request.processor()
                        + " is not listed, is leaving, or the list is not proven fresh."));
            }
            if (request.repeated()) {
                return Mono.just(new FetchResponse(deliveredBefore(partition, request)));
            }
            return Flux.fromIterable(candidates(partition, request.service()))
                    .take(request.limit())
                    .concatMap(message -> start(partition, message, request))
                    .collectList()
                    .map(FetchResponse::new);
        });
    }

    /**
     * The attempts that were already started for this fetch, for a processor that did not receive the response and
     * repeats it.
     */
    private List<Message> deliveredBefore(MessagePartition partition, FetchRequest request) {
        Instant now = context.environment().clock().wallTime();
        return partition
                .replica()
                .inspect(i -> partition.stateMachine().running().stream()
                        .filter(message -> message.processor().equals(request.processor())
                                && message.destination().equals(ProcessorStatus.FETCH_PREFIX + request.fetchId())
                                && message.deadline().isAfter(now))
                        .toList());
    }

    private boolean mayReceive(FetchRequest request) {
        Optional<Processor> processor = context.subscriptions()
                .fresh(ServiceNames.processors(request.service()))
                .map(view -> view.processors().get(request.processor()));
        return processor.isPresent()
                && !processor.get().leaving()
                && processor.get().address().isEmpty();
    }

    /** Due messages of the service, lane by lane; each fetch starts with another tenant. */
    private List<Message> candidates(MessagePartition partition, String service) {
        int rotation = rotations.incrementAndGet();
        Instant now = context.environment().clock().wallTime();
        return partition
                .replica()
                .inspect(i -> partition
                        .stateMachine()
                        .ready()
                        .dueOfAllLanes(now, MAX_SCANNED, rotation, message -> policy.isOfService(message, service)));
    }

    /** Commits the start of the attempt before the response; all checks are repeated when the message is handed out. */
    private Mono<Message> start(MessagePartition partition, Message message, FetchRequest request) {
        Instant now = context.environment().clock().wallTime();
        if (now.isAfter(policy.expiry(message))
                || context.configurations().fresh().isEmpty()) {
            return Mono.empty();
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.tryAcquire(context, partition, message, request.service());
        if (permit.isEmpty()) {
            return Mono.empty();
        }
        Start start = new Start(
                message.handle(),
                message.attempt() + 1,
                request.processor(),
                now.plusMillis(policy.terms(message).attemptMs()),
                now,
                ProcessorStatus.FETCH_PREFIX + request.fetchId());
        return partition
                .replica()
                .propose(start, TransitionResult.class)
                .doOnError(e -> permit.get().release())
                .onErrorResume(e -> Mono.empty())
                .flatMap(result -> handOut(partition, request, permit.get(), result, now));
    }

    private Mono<Message> handOut(
            MessagePartition partition,
            FetchRequest request,
            DeliveryPermit permit,
            TransitionResult started,
            Instant now) {
        if (!started.applied()) {
            permit.release();
            return Mono.empty();
        }
        if (mayReceive(request) && partition.replica().isActiveLeader() && permit.spend()) {
            return Mono.just(started.message());
        }
        permit.release();
        End end = new End(
                started.message().handle(), started.message().attempt(), AttemptOutcome.NOT_SENT, NOT_SENT, now, now);
        return context.recorder()
                .record(partition.id(), end, request.processor())
                .then(Mono.empty());
    }
}
