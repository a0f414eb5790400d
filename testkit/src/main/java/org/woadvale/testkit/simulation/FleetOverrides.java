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
 * Replaces, by node address, what the shipped nodes are given from outside, for tests with stand-ins. (docs/design.md,
 * section 12.3)
 */
public record FleetOverrides(
        BiFunction<String, RpcClient, RpcClient> rpc,
        BiFunction<String, Disk, Disk> disk,
        BiFunction<String, Clock, Clock> clock,
        BiFunction<String, DeliveryClient, DeliveryClient> deliveryClient,
        UnaryOperator<ReplicationTiming> timing,
        FaultTolerance faultTolerance) {

    public static FleetOverrides none() {
        return new FleetOverrides(
                (address, rpc) -> rpc,
                (address, disk) -> disk,
                (address, clock) -> clock,
                (address, client) -> client,
                timing -> timing,
                FaultTolerance.ONE_MACHINE);
    }

    public FleetOverrides withRpc(BiFunction<String, RpcClient, RpcClient> replacement) {
        return new FleetOverrides(replacement, disk, clock, deliveryClient, timing, faultTolerance);
    }

    public FleetOverrides withDisk(BiFunction<String, Disk, Disk> replacement) {
        return new FleetOverrides(rpc, replacement, clock, deliveryClient, timing, faultTolerance);
    }

    public FleetOverrides withClock(BiFunction<String, Clock, Clock> replacement) {
        return new FleetOverrides(rpc, disk, replacement, deliveryClient, timing, faultTolerance);
    }

    public FleetOverrides withDeliveryClient(BiFunction<String, DeliveryClient, DeliveryClient> replacement) {
        return new FleetOverrides(rpc, disk, clock, replacement, timing, faultTolerance);
    }

    public FleetOverrides withTiming(UnaryOperator<ReplicationTiming> replacement) {
        return new FleetOverrides(rpc, disk, clock, deliveryClient, replacement, faultTolerance);
    }

    public FleetOverrides withFaultTolerance(FaultTolerance replacement) {
        return new FleetOverrides(rpc, disk, clock, deliveryClient, timing, replacement);
    }
}
