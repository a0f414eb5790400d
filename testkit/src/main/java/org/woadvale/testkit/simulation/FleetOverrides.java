package org.woadvale.testkit.simulation;

import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.wal.Disk;
import org.woadvale.dataplane.delivery.DeliveryClient;

/**
 * Where a stand-in may take the place of what the shipped nodes are given; by address. (docs/design.md, section 12.3)
 */
public record FleetOverrides(
        BiFunction<String, RpcClient, RpcClient> rpc,
        BiFunction<String, Disk, Disk> disk,
        BiFunction<String, Clock, Clock> times,
        BiFunction<String, DeliveryClient, DeliveryClient> post,
        UnaryOperator<ReplicationTiming> timing,
        FaultTolerance faultTolerance) {

    public static FleetOverrides none() {
        return new FleetOverrides(
                (a, rpc) -> rpc,
                (a, disk) -> disk,
                (a, clock) -> clock,
                (a, client) -> client,
                timing -> timing,
                FaultTolerance.ONE_MACHINE);
    }

    public FleetOverrides withRpc(BiFunction<String, RpcClient, RpcClient> b) {
        return new FleetOverrides(b, disk, times, post, timing, faultTolerance);
    }

    public FleetOverrides withDisk(BiFunction<String, Disk, Disk> d) {
        return new FleetOverrides(rpc, d, times, post, timing, faultTolerance);
    }

    public FleetOverrides withTimes(BiFunction<String, Clock, Clock> t) {
        return new FleetOverrides(rpc, disk, t, post, timing, faultTolerance);
    }

    public FleetOverrides withPost(BiFunction<String, DeliveryClient, DeliveryClient> p) {
        return new FleetOverrides(rpc, disk, times, p, timing, faultTolerance);
    }

    public FleetOverrides withTiming(UnaryOperator<ReplicationTiming> p) {
        return new FleetOverrides(rpc, disk, times, post, p, faultTolerance);
    }

    public FleetOverrides withFaultTolerance(FaultTolerance t) {
        return new FleetOverrides(rpc, disk, times, post, timing, t);
    }
}
