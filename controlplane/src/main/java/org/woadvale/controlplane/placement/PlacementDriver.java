package org.woadvale.controlplane.placement;

import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.controlplane.state.ControlStateMachine;

/**
 * Writes the placement of the message partitions and notifies the stores of changes, while this node leads the
 * partition that holds it.
 */
public final class PlacementDriver {
    private static final Logger LOG = LogManager.getLogger(PlacementDriver.class);

    private final NodeEnvironment environment;
    private final Replica<ControlCommand, ControlResult> replica;
    private final ControlStateMachine stateMachine;
    private final FaultTolerance faultTolerance;
    private final ReplicaPlacement placement;
    private long checkedVersion = -1;
    /** The smallest replica count of a partition in the last warning; 0 while all groups are complete. */
    private int loggedGroupSize;

    /** Creates the driver for the replica of the partition that holds the placement. */
    public PlacementDriver(
            NodeEnvironment environment,
            Replica<ControlCommand, ControlResult> replica,
            ControlStateMachine stateMachine,
            FaultTolerance faultTolerance) {
        this.environment = environment;
        this.replica = replica;
        this.stateMachine = stateMachine;
        this.faultTolerance = faultTolerance;
        this.placement = new ReplicaPlacement(faultTolerance);
    }

    /**
     * Called when a store has renewed its lease. If the view of the stores has changed, checks the placement now
     * instead of with the next tick.
     */
    public synchronized void onStoreHeartbeat() {
        if (replica.inspect(index -> stateMachine.service(ServiceNames.STORES)).version() != checkedVersion) {
            onTick();
        }
    }

    /** Writes the desired placement if this node is the leader; called with every tick. */
    public synchronized void onTick() {
        if (!replica.isActiveLeader()) {
            return;
        }
        ServiceView stores = replica.inspect(index -> stateMachine.service(ServiceNames.STORES));
        checkedVersion = stores.version();
        Map<String, List<String>> next =
                placement.next(stores, environment.clock().monotonicTime());
        logGroupSize(next);
        if (!next.equals(stores.placement())) {
            replica.propose(
                            new ControlMessages.PutPlacement(next, stores.version()),
                            ControlMessages.UpdateResult.class)
                    .subscribe(result -> notifyStores(), e -> {});
        }
    }

    /**
     * Logs a warning once for each size at which groups are smaller than required, and a message once they are complete
     * again.
     */
    private void logGroupSize(Map<String, List<String>> partitions) {
        int smallest = partitions.values().stream().mapToInt(List::size).min().orElse(faultTolerance.groupSize());
        if (smallest < faultTolerance.groupSize() && smallest != loggedGroupSize) {
            LOG.warn(
                    "Message partitions have {} replicas of the {} that the fault tolerance asks for, until more stores come.",
                    smallest,
                    faultTolerance.groupSize());
        } else if (smallest >= faultTolerance.groupSize() && loggedGroupSize > 0) {
            LOG.info("All message partitions have {} replicas.", smallest);
        }
        loggedGroupSize = smallest < faultTolerance.groupSize() ? smallest : 0;
    }

    private void notifyStores() {
        ServiceView stores = replica.inspect(index -> stateMachine.service(ServiceNames.STORES));
        ControlMessages.PlacementChanged notice = new ControlMessages.PlacementChanged(stores.version());
        stores.members()
                .keySet()
                .forEach(store -> environment
                        .rpc()
                        .call(
                                store,
                                notice,
                                ControlMessages.UpdateResult.class,
                                environment.timing().requestTimeout())
                        .subscribe(result -> {}, e -> {}));
    }
}
