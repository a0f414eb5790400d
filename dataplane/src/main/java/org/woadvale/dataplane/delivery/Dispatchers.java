package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;
import reactor.core.publisher.Sinks;

/**
 * The dispatchers of a store, one per partition, and the timer that drives them. (docs/design.md, sections 9.3 and 9.4)
 */
public final class Dispatchers {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final DispatchContext context;
    private final Map<String, Dispatcher> dispatchersByPartition = new ConcurrentHashMap<>();
    private final WaitingPulls waitingPulls;
    private final FetchHandler fetchHandler;
    private final OutcomeReportHandler outcomeReportHandler;
    private final StatusHandler statusHandler;
    private final Sinks.Empty<Void> breakOff = Sinks.empty();
    private TimerHandle ticking = () -> {};
    private volatile boolean ended;

    /** Creates the dispatchers of a store, at first for no partition. */
    public Dispatchers(DispatchContext context) {
        this.context = context;
        this.waitingPulls = new WaitingPulls(context, dispatchersByPartition);
        this.fetchHandler = new FetchHandler(context);
        this.outcomeReportHandler = new OutcomeReportHandler(context);
        this.statusHandler = new StatusHandler(context, dispatchersByPartition);
    }

    /** Adds the dispatcher of a partition that was opened on this store. */
    public void onPartitionOpened(MessagePartition partition) {
        Dispatcher dispatcher = new Dispatcher(context, partition, breakOff.asMono());
        dispatchersByPartition.put(partition.id(), dispatcher);
    }

    /** Dispatches until {@link #stop}. */
    public void start() {
        ticking = context.environment().timers().every(TICK_INTERVAL, () -> {
            waitingPulls.onTick();
            if (!ended) {
                dispatchersByPartition.values().forEach(Dispatcher::onTick);
            }
        });
    }

    /** Begins no further delivery; pulls that wait here are still answered. */
    public void endDeliveries() {
        ended = true;
    }

    /** Whether no delivery that was begun here is in flight. */
    public boolean idle() {
        return dispatchersByPartition.values().stream().allMatch(Dispatcher::idle);
    }

    /** Stops all work. */
    public void stop() {
        ticking.cancel();
    }

    /** Breaks off the deliveries that have no answer yet; may be called again. */
    public void breakOff() {
        breakOff.tryEmitEmpty();
    }

    /** Registers the handlers for requests of intakes and other stores about deliveries. */
    public void route(RpcRouter router) {
        waitingPulls.route(router);
        fetchHandler.route(router);
        outcomeReportHandler.route(router);
        statusHandler.route(router);
    }
}
