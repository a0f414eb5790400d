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
import org.woadvale.dataplane.queue.MessageState;
import org.woadvale.dataplane.queue.ReadyQueue;
import reactor.core.publisher.Mono;

/** Dispatches the messages of one partition while this node leads it. (docs/design.md, section 9.3) */
public final class Dispatcher {
    private static final int LOOK_AHEAD = 64;
    /**
     * Rate limit for the retries of a tenant on a lane in a partition: messages that cannot succeed use up only this
     * limit.
     */
    private static final RateLimit RETRY_LIMIT = new RateLimit(5, 10);

    private final DispatchContext context;
    private final MessagePartition partition;
    /** Messages that this dispatcher handles now: they are not taken up a second time. */
    private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

    private final AttemptsInFlight attempts = new AttemptsInFlight();
    private final Mono<Void> breakOff;
    private final Map<String, TokenBucket> retryBuckets = new HashMap<>();
    private final DeliveryPolicy policy;
    private final DeliveryLeases leases;
    private int rotation;

    /** Creates the dispatcher of one partition; {@code breakOff} completes when deliveries are broken off. */
    public Dispatcher(DispatchContext context, MessagePartition partition, Mono<Void> breakOff) {
        this.context = context;
        this.partition = partition;
        this.breakOff = breakOff;
        this.policy = new DeliveryPolicy(context);
        this.leases = new DeliveryLeases(context, partition, this);
    }

    DeliveryLeases leases() {
        return leases;
    }

    boolean idle() {
        return attempts.isEmpty();
    }

    /** Whether the attempt was begun here and its outcome is not recorded yet. */
    boolean hasInFlight(String handle, int attempt) {
        return attempts.contains(handle, attempt);
    }

    /** Whether the attempt of the message is in progress according to the local replica. */
    boolean isRunning(Message message) {
        return partition
                .replica()
                .inspect(i -> partition.stateMachine().get(message.handle()))
                .filter(found -> found.state() == MessageState.RUNNING && found.attempt() == message.attempt())
                .isPresent();
    }

    Mono<Void> breakOff() {
        return breakOff;
    }

    DispatchContext context() {
        return context;
    }

    String partitionId() {
        return partition.id();
    }

    /** The members of the partition's group as far as the local replica knows them. */
    Set<String> groupMembers() {
        return partition.replica().members().keySet();
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

    /** Reports a processor as gone only by a view that is known to be fresh. */
    ProcessorStatus processorStatus(Message message) {
        Optional<Configuration> configuration = context.configurations().fresh().map(view -> view.configuration());
        if (configuration.isEmpty()) {
            return ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN);
        }
        String service = policy.terms(message).service();
        Optional<Configuration.Service> configured =
                Optional.ofNullable(configuration.get().services().get(service));
        if (configured.isPresent() && configured.get().kind() == Configuration.Kind.ENDPOINT) {
            return ProcessorStatus.listed(message, configured.get().address());
        }
        if (configured.isEmpty() && message.processor().equals(ProcessorSelector.ENDPOINT)) {
            return ProcessorStatus.gone(message);
        }
        return context.subscriptions()
                .fresh(ServiceNames.processors(service))
                .map(view -> Optional.ofNullable(view.processors().get(message.processor()))
                        .map(processor -> ProcessorStatus.listed(message, processor.address()))
                        .orElse(ProcessorStatus.gone(message)))
                .orElse(ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN));
    }

    /** An inquiry counts as a request to an external endpoint, so it uses an admission token. */
    Optional<DeliveryPermit> acquireInquiryPermit(Message message) {
        return DeliveryPermit.tryAcquire(context, policy.terms(message).service());
    }

    /** Called periodically by {@link Dispatchers}. */
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
        rotation++;
        for (int i = 0; i < lanes.size(); i++) {
            String lane = lanes.get((i + rotation) % lanes.size());
            for (Message message : byLane.get(lane)) {
                if (!dispatchNext(message)) {
                    break;
                }
            }
        }
    }

    /**
     * Resumes messages that are running according to the log but were not started here: the leader changed, so their
     * outcome is unknown.
     */
    private void adoptRunning() {
        for (Message message :
                partition.replica().inspect(i -> partition.stateMachine().running())) {
            if (message.leased()) {
                leases.onTick(message);
            } else if (inFlight.add(message.handle())) {
                new DeliveryAttempt(this, message, new DeliveryTargets.Target("", message.processor(), "", true))
                        .resumeAfterAdoption()
                        .doFinally(signal -> inFlight.remove(message.handle()))
                        .subscribe(x -> {}, e -> {});
            }
        }
    }

    private Map<String, List<Message>> due() {
        Instant now = wallTime();
        return partition.replica().inspect(i -> {
            Map<String, List<Message>> dueByLane = new TreeMap<>();
            ReadyQueue ready = partition.stateMachine().ready();
            ready.lanes().forEach(lane -> {
                List<Message> list =
                        ready.due(lane, now, LOOK_AHEAD, rotation, message -> !inFlight.contains(message.handle()));
                if (!list.isEmpty()) {
                    dueByLane.put(lane, list);
                }
            });
            return dueByLane;
        });
    }

    /** Returns false if the lane can send nothing more for now. */
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
        inFlight.add(message.handle());
        attempts.track(message.handle(), message.attempt() + 1, dispatch(message, permit.get(), target.get()))
                .doFinally(signal -> inFlight.remove(message.handle()))
                .subscribe(x -> {}, e -> {});
        return true;
    }

    synchronized boolean retryAllowed(String laneAndTenant) {
        TokenBucket bucket = retryBuckets.computeIfAbsent(
                laneAndTenant,
                k -> TokenBucket.full(RETRY_LIMIT, context.environment().clock().monotonicTime()));
        bucket.fill(context.environment().clock().monotonicTime(), 0);
        return bucket.take(1);
    }

    private void expire(Message message) {
        if (inFlight.add(message.handle())) {
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
                    .doFinally(signal -> inFlight.remove(message.handle()))
                    .subscribe(x -> {}, e -> {});
        }
    }

    /** Commits the start of the attempt before anything is sent; all checks are repeated afterwards. */
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
                    DeliveryAttempt attempt = new DeliveryAttempt(this, result.message(), target);
                    if (!result.applied()) {
                        permit.release();
                        context.targets().release(target);
                        return Mono.just(false);
                    }
                    return attempt.push(permit);
                });
    }
}
