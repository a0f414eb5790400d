package org.woadvale.dataplane.delivery;

import java.time.Duration;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.replication.Env;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.queue.MessagePartitions;

/** What every dispatcher of a store shares; lease is how long a leased message rests after its last word. */
public record DispatchContext(
        Env env,
        ViewSubscriptions subscriptions,
        ConfigurationView configurations,
        LocalBuckets localBuckets,
        MessagePartitions partitions,
        Targets targets,
        DeliveryClient post,
        DeliveryProtocol protocol,
        Recorder recorder,
        Duration lease,
        String zone) {}
