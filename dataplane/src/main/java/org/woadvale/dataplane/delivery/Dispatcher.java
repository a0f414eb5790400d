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
import org.woadvale.common.ratelimit.Bucket;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import org.woadvale.dataplane.queue.ReadyQueue;
import reactor.core.publisher.Mono;

/** Lets the messages of one part out, while this node owns it: design 9.3. */
public final class Dispatcher {
    private static final int LOOK_AHEAD = 64;
    /** Retries of a tenant on a lane in a part: a flood that cannot succeed spends only these. */
    private static final RateLimit RETRIES = new RateLimit(5, 10);

    private final DispatchContext context;
    private final MessagePartition partition;
    private final Set<String> busy = ConcurrentHashMap.newKeySet();
    private final Map<String, Bucket> retries = new HashMap<>();
    private final DeliveryPolicy policy;
    private final DeliveryLeases leases;
    private int turn;

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
    ProcessorStatus processorStatus(Message m) {
        Optional<Configuration> l = context.configurations().fresh().map(k -> k.configuration());
        if (l.isEmpty()) {
            return ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN);
        }
        String service = policy.terms(m).service();
        Optional<Configuration.Service> s =
                Optional.ofNullable(l.get().services().get(service));
        if (s.isPresent() && s.get().kind() == Configuration.Kind.ENDPOINT) {
            return ProcessorStatus.listed(m, s.get().address());
        }
        if (s.isEmpty() && m.processor().equals(ProcessorSelector.ENDPOINT)) {
            return ProcessorStatus.gone(m);
        }
        return context.subscriptions()
                .fresh(ServiceNames.processors(service))
                .map(v -> Optional.ofNullable(v.processors().get(m.processor()))
                        .map(p -> ProcessorStatus.listed(m, p.address()))
                        .orElse(ProcessorStatus.gone(m)))
                .orElse(ProcessorStatus.of(ProcessorStatus.Kind.UNKNOWN));
    }

    /** Asking an outside endpoint counts as one of its requests, so it spends a leaving pass. */
    Optional<DeliveryPermit> mayInquire(Message m) {
        return DeliveryPermit.draw(context, policy.terms(m).service());
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
            for (Message m : byLane.get(lane)) {
                if (!dispatchNext(m)) {
                    break;
                }
            }
        }
    }

    /** Running here by the log, but not by us: the owner changed, so the outcome is unclear. */
    private void adoptRunning() {
        for (Message m : partition.replica().look(i -> partition.stateMachine().running())) {
            if (m.leased()) {
                leases.onTick(m);
            } else if (busy.add(m.handle())) {
                new DeliveryAttempt(this, m, new DeliveryTargets.Target("", m.processor(), "", true))
                        .resumeAfterAdoption()
                        .doFinally(s -> busy.remove(m.handle()))
                        .subscribe(x -> {}, e -> {});
            }
        }
    }

    private Map<String, List<Message>> due() {
        Instant now = wallTime();
        return partition.replica().look(i -> {
            Map<String, List<Message>> out = new TreeMap<>();
            ReadyQueue s = partition.stateMachine().ready();
            s.lanes().forEach(lane -> {
                List<Message> list = s.due(lane, now, LOOK_AHEAD, turn, m -> !busy.contains(m.handle()));
                if (!list.isEmpty()) {
                    out.put(lane, list);
                }
            });
            return out;
        });
    }

    /** False when the lane can send nothing more now. */
    private boolean dispatchNext(Message m) {
        if (wallTime().isAfter(policy.expiry(m))) {
            expire(m);
            return true;
        }
        Optional<DeliveryTargets.Target> t = context.targets()
                .draw(
                        ProcessorSelector.targets(this, policy.terms(m).service()),
                        ProcessorSelector.most(this, policy.terms(m).service()));
        if (t.isEmpty()) {
            return false;
        }
        if (m.attemptsMade() > 0 && !retryAllowed(m.lane() + "/" + m.tenant())) {
            context.targets().unused(t.get());
            return true;
        }
        Optional<DeliveryPermit> permit =
                DeliveryPermit.draw(context, partition, m, policy.terms(m).service());
        if (permit.isEmpty()) {
            context.targets().unused(t.get());
            return false;
        }
        busy.add(m.handle());
        dispatch(m, permit.get(), t.get())
                .doFinally(s -> busy.remove(m.handle()))
                .subscribe(x -> {}, e -> {});
        return true;
    }

    synchronized boolean retryAllowed(String lane) {
        Bucket b = retries.computeIfAbsent(
                lane, k -> Bucket.full(RETRIES, context.environment().clock().monotonicTime()));
        b.fill(context.environment().clock().monotonicTime(), 0);
        return b.take(1);
    }

    private void expire(Message m) {
        if (busy.add(m.handle())) {
            context.recorder()
                    .record(
                            partitionId(),
                            new MessageCommands.End(
                                    m.handle(),
                                    0,
                                    MessageCommands.AttemptOutcome.FAILED,
                                    "time limit reached",
                                    wallTime(),
                                    wallTime()),
                            "")
                    .doFinally(s -> busy.remove(m.handle()))
                    .subscribe(x -> {}, e -> {});
        }
    }

    /** The attempt is committed before anything is sent; then all is checked again. */
    private Mono<Boolean> dispatch(Message m, DeliveryPermit permit, DeliveryTargets.Target t) {
        MessageCommands.Start start = new MessageCommands.Start(
                m.handle(),
                m.attempt() + 1,
                t.id(),
                wallTime().plusMillis(policy.terms(m).attemptMs()),
                wallTime(),
                t.address());
        return partition
                .replica()
                .propose(start, MessageCommands.TransitionResult.class)
                .doOnError(e -> {
                    permit.release();
                    context.targets().unused(t);
                })
                .flatMap(c -> {
                    DeliveryAttempt run = new DeliveryAttempt(this, c.message(), t);
                    if (!c.applied()) {
                        permit.release();
                        context.targets().unused(t);
                        return Mono.just(false);
                    }
                    return run.push(permit);
                });
    }
}
