package org.woadvale.dataplane.delivery;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.common.ratelimit.TokenBucket;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.ReadyQueue;
import reactor.core.publisher.Mono;

/** Lets the messages of one partition out, while this node owns it (docs/design.md, section 9.3). */
public final class Dispatcher {
    private static final int LOOK_AHEAD = 64;
    /** Retries of a tenant on a lane in a partition: a flood that cannot succeed spends only these. */
    private static final RateLimit RETRIES = new RateLimit(5, 10);

    private final DispatchContext context;
    private final MessagePartition partition;
    private final Set<String> busy = ConcurrentHashMap.newKeySet();
    private final Map<String, TokenBucket> retries = new HashMap<>();
    private final DeliveryPolicy policy;
    private final DeliveryLeases leases;
    private int turn;

    /** The dispatcher of one partition. */
    public Dispatcher(DispatchContext context, MessagePartition partition) {
        this.context = context;
        this.partition = partition;
        this.policy = new DeliveryPolicy(context);
        this.leases = new DeliveryLeases(context, partition, this);
    }

    DeliveryLeases leases() {
        return leases;
    }

    boolean idle() {
        return busy.isEmpty();
    }

    DispatchContext context() {
        return context;
    }

    String partitionId() {
        return partition.id();
    }

    boolean isLeader() {
        return partition.replica().isActiveLeader();
    }

    private Instant wallTime() {
        return context.environment().clock().wallTime();
    }

    DeliveryPolicy policy() {
        return policy;
    }

    /** Only views of proven age may say that a processor is gone. */
    ProcessorStatus processorStatus(Message message) {
        Optional<Configuration> configuration = context.configurations().fresh().map(known -> known.configuration());
        if (configuration.isEmpty()) {
            return ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN);
        }
        String service = policy.terms(message).service();
        Optional<Configuration.Service> optional =
                Optional.ofNullable(configuration.get().services().get(service));
        if (optional.isPresent() && optional.get().kind() == Configuration.Kind.ENDPOINT) {
            return ProcessorStatus.listed(message, optional.get().address());
        }
        if (optional.isEmpty() && message.processor().equals(ProcessorSelector.ENDPOINT)) {
            return ProcessorStatus.gone(message);
        }
        return context.subscriptions()
                .fresh(ServiceNames.processors(service))
                .map(view -> Optional.ofNullable(view.processors().get(message.processor()))
                        .map(processor -> ProcessorStatus.listed(message, processor.address()))
                        .orElse(ProcessorStatus.gone(message)))
                .orElse(ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN));
    }

    /** Asking an outside endpoint counts as one of its requests, so it spends a leaving pass. */
    Optional<DeliveryPermit> acquireInquiryPermit(Message message) {
        return DeliveryPermit.tryAcquire(context, policy.terms(message).service());
    }

    /** Called by the store's one schedule. */
    void onTick() {
        if (!isLeader()) {
            leases.clear();
            return;
        }
        if (context.configurations().fresh().isEmpty()) {
            return;
        }
        adoptRunning();
        Map<String, List<Message>> byLane = due();
        List<String> lanes = new ArrayList<>(byLane.keySet());
        turn++;
        for (int i = 0; i < lanes.size(); i++) {
            String lane = lanes.get((i + turn) % lanes.size());
            for (Message message : byLane.get(lane)) {
                if (!dispatchNext(message)) {
                    break;
                }
            }
        }
    }

    /** Running here by the log, but not by us: the leader changed, so the outcome is unclear. */
    private void adoptRunning() {
        for (Message message :
                partition.replica().inspect(i -> partition.stateMachine().running())) {
            if (message.leased()) {
                leases.onTick(message);
            } else if (busy.add(message.handle())) {
                new DeliveryAttempt(this, message, new DeliveryTargets.Target("", message.processor(), "", true))
                        .resumeAfterAdoption()
                        .doFinally(signal -> busy.remove(message.handle()))
                        .subscribe(x -> {}, e -> {});
            }
        }
    }

    private Map<String, List<Message>> due() {
        Instant now = wallTime();
        return partition.replica().inspect(i -> {
            Map<String, List<Message>> out = new TreeMap<>();
            ReadyQueue ready = partition.stateMachine().ready();
            ready.lanes().forEach(lane -> {
                List<Message> list =
                        ready.due(lane, now, LOOK_AHEAD, turn, message -> !busy.contains(message.handle()));
                if (!list.isEmpty()) {
                    out.put(lane, list);
                }
            });
            return out;
        });
    }

    /** False when the lane can send nothing more now. */
    private boolean dispatchNext(Message message) {
        if (wallTime().isAfter(policy.expiry(message))) {
            expire(message);
            return true;
        }
        Optional<DeliveryTargets.Target> target = context.targets()
                .tryAcquire(
                        ProcessorSelector.targets(this, policy.terms(message).service()),
                        ProcessorSelector.maxInFlight(
                                this, policy.terms(message).service()));
        if (target.isEmpty()) {
            return false;
        }
        if (message.attemptsMade() > 0 && !retryAllowed(message.lane() + "/" + message.tenant())) {
            context.targets().release(target.get());
            return true;
        }
        Optional<DeliveryPermit> permit = DeliveryPermit.tryAcquire(
                context, partition, message, policy.terms(message).service());
        if (permit.isEmpty()) {
            context.targets().release(target.get());
            return false;
        }
        busy.add(message.handle());
        dispatch(message, permit.get(), target.get())
                .doFinally(signal -> busy.remove(message.handle()))
                .subscribe(x -> {}, e -> {});
        return true;
    }

    synchronized boolean retryAllowed(String lane) {
        TokenBucket bucket = retries.computeIfAbsent(
                lane,
                k -> TokenBucket.full(RETRIES, context.environment().clock().monotonicTime()));
        bucket.fill(context.environment().clock().monotonicTime(), 0);
        return bucket.take(1);
    }

    private void expire(Message message) {
        if (busy.add(message.handle())) {
            context.recorder()
                    .record(
                            partitionId(),
                            new MessageCommands.End(
                                    message.handle(),
                                    0,
                                    MessageCommands.AttemptOutcome.FAILED,
                                    "time limit reached",
                                    wallTime(),
                                    wallTime()),
                            "")
                    .doFinally(signal -> busy.remove(message.handle()))
                    .subscribe(x -> {}, e -> {});
        }
    }

    /** The attempt is committed before anything is sent; then all is checked again. */
    private Mono<Boolean> dispatch(Message message, DeliveryPermit permit, DeliveryTargets.Target target) {
        MessageCommands.Start start = new MessageCommands.Start(
                message.handle(),
                message.attempt() + 1,
                target.id(),
                wallTime().plusMillis(policy.terms(message).attemptMs()),
                wallTime(),
                target.address());
        return partition
                .replica()
                .propose(start, MessageCommands.TransitionResult.class)
                .doOnError(e -> {
                    permit.release();
                    context.targets().release(target);
                })
                .flatMap(result -> {
                    DeliveryAttempt run = new DeliveryAttempt(this, result.message(), target);
                    if (!result.applied()) {
                        permit.release();
                        context.targets().release(target);
                        return Mono.just(false);
                    }
                    return run.push(permit);
                });
    }
}
