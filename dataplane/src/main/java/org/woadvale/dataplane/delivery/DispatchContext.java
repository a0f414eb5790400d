package org.woadvale.dataplane.delivery;

import java.time.Duration;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.queue.MessagePartitions;

/** What all dispatchers of a store share; {@code leaseTime} is how long a lease lasts without a renewal. */
public record DispatchContext(
        NodeEnvironment environment,
        ViewSubscriptions subscriptions,
        ConfigurationView configurations,
        LocalBuckets localBuckets,
        MessagePartitions partitions,
        DeliveryTargets targets,
        DeliveryClient deliveryClient,
        DeliveryProtocol protocol,
        OutcomeRecorder recorder,
        Duration leaseTime,
        String zone) {}
