package org.woadvale.testkit.simulation;

import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.wal.Disk;
import org.woadvale.dataplane.delivery.DeliveryClient;

/**
 * Where a stand-in may take the place of what the shipped nodes are given; by address. (docs/design.md, section 12.3)
 */
public record Seams(
        BiFunction<String, RpcClient, RpcClient> rpc,
        BiFunction<String, Disk, Disk> disk,
        BiFunction<String, Clock, Clock> times,
        BiFunction<String, DeliveryClient, DeliveryClient> post,
        UnaryOperator<ReplicationTiming> timing) {

    public static Seams none() {
        return new Seams(
                (a, rpc) -> rpc, (a, disk) -> disk, (a, clock) -> clock, (a, client) -> client, timing -> timing);
    }

    public Seams withRpc(BiFunction<String, RpcClient, RpcClient> b) {
        return new Seams(b, disk, times, post, timing);
    }

    public Seams withDisk(BiFunction<String, Disk, Disk> d) {
        return new Seams(rpc, d, times, post, timing);
    }

    public Seams withTimes(BiFunction<String, Clock, Clock> t) {
        return new Seams(rpc, disk, t, post, timing);
    }

    public Seams withPost(BiFunction<String, DeliveryClient, DeliveryClient> p) {
        return new Seams(rpc, disk, times, p, timing);
    }

    public Seams withTiming(UnaryOperator<ReplicationTiming> p) {
        return new Seams(rpc, disk, times, post, p);
    }
}
