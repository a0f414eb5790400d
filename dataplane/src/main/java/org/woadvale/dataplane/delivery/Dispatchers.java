package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;

/** The dispatchers of a store, one a partition, and the store's one schedule (docs/design.md, sections 9.3 and 9.4). */
public final class Dispatchers {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPartition = new ConcurrentHashMap<>();
    private final WaitingPulls waitingPulls;
    private final FetchHandler fetchHandler;
    private final OutcomeReportHandler outcomeReportHandler;
    private TimerHandle ticking = () -> {};

    /** Without any partition. */
    public Dispatchers(DispatchContext context) {
        this.context = context;
        this.waitingPulls = new WaitingPulls(context, dispatchersByPartition);
        this.fetchHandler = new FetchHandler(context);
        this.outcomeReportHandler = new OutcomeReportHandler(context);
    }

    /** A partition was opened on this store. */
    public void onPartitionOpened(MessagePartition partition) {
        Dispatcher dispatcher = new Dispatcher(context, partition);
        dispatchersByPartition.put(partition.id(), dispatcher);
    }

    /** Dispatches until {@link #stop}. */
    public void start() {
        ticking = context.environment().timers().every(TICK_INTERVAL, () -> {
            waitingPulls.onTick();
            dispatchersByPartition.values().forEach(Dispatcher::onTick);
        });
    }

    /** Whether no delivery is in flight. */
    public boolean idle() {
        return dispatchersByPartition.values().stream().allMatch(Dispatcher::idle);
    }

    /** Begins no delivery any more. */
    public void stop() {
        ticking.cancel();
    }

    /** What a store answers to intakes and other stores about deliveries. */
    public void route(RpcRouter router) {
        waitingPulls.route(router);
        fetchHandler.route(router);
        outcomeReportHandler.route(router);
    }
}
