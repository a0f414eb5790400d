package org.woadvale.dataplane;

import java.time.Duration;
import org.woadvale.common.config.Settings;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.DeliveryProtocol;
import org.woadvale.dataplane.delivery.DeliveryTargets;
import org.woadvale.dataplane.delivery.DispatchContext;
import org.woadvale.dataplane.delivery.Dispatchers;
import org.woadvale.dataplane.delivery.OutcomeRecorder;
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.MessagePartitions;

/** The store role of a node: replicas of message partitions, and the delivery of the messages of those it leads. */
final class StoreRole {
    static final String NAME = "store";
    private static final RateLimit NODE_UNITS = new RateLimit(8000, 16000);
    private static final RateLimit PARTITION_UNITS = new RateLimit(2000, 8000);
    private static final int MEBIBYTE_SHIFT = 20;

    private final MessagePartitions partitions;
    private final Dispatchers dispatchers;

    StoreRole(
            NodeEnvironment environment,
            Settings settings,
            ViewSubscriptions subscriptions,
            ConfigurationView configurations,
            LocalBuckets localBuckets,
            PartitionClient forwarder,
            DeliveryClient client,
            DeliveryProtocol protocol) {
        this.partitions = new MessagePartitions(
                environment,
                subscriptions,
                NODE_UNITS,
                PARTITION_UNITS,
                (long) settings.partMb() << MEBIBYTE_SHIFT,
                Duration.ofSeconds(settings.keepEndedS()));
        this.dispatchers = new Dispatchers(new DispatchContext(
                environment,
                subscriptions,
                configurations,
                localBuckets,
                partitions,
                new DeliveryTargets(environment),
                client,
                protocol,
                new OutcomeRecorder(environment, forwarder),
                Duration.ofMillis(settings.leaseMs()),
                settings.zone()));
    }

    MessagePartitions partitions() {
        return partitions;
    }

    void route(RpcRouter router) {
        partitions.route(router);
        dispatchers.route(router);
    }

    void start() throws ServiceException {
        partitions.onOpen(dispatchers::onPartitionOpened);
        partitions.start();
        dispatchers.start();
    }

    void stop() {
        dispatchers.stop();
        partitions.stop();
    }

    /** Transfers the leadership of all partitions; true once none is led here. */
    boolean drain() {
        return partitions.drain();
    }

    /** Whether the outcome of every delivery begun here is recorded. */
    boolean idle() {
        return dispatchers.idle();
    }

    /** Begins no further delivery. */
    void endDeliveries() {
        dispatchers.endDeliveries();
    }

    /** Breaks off the deliveries that have no answer yet. */
    void breakOffDeliveries() {
        dispatchers.breakOff();
    }

    /** Whether each partition placed here has a known leader. */
    boolean ready() {
        return partitions.all().values().stream()
                .allMatch(partition -> partition.replica().leaderId().isPresent());
    }
}
