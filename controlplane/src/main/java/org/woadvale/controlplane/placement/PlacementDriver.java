package org.woadvale.controlplane.placement;

import java.util.List;
import java.util.Map;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.controlplane.state.ControlStateMachine;

/** Writes the placement of the message partitions and tells the stores of it, while this node leads it. design 6.9 */
public final class PlacementDriver {
    private final NodeEnvironment environment;
    private final Replica<ControlCommand, ControlResult> replica;
    private final ControlStateMachine machine;
    private final ReplicaPlacement placement = new ReplicaPlacement();
    private long looked = -1;

    public PlacementDriver(
            NodeEnvironment environment, Replica<ControlCommand, ControlResult> replica, ControlStateMachine machine) {
        this.environment = environment;
        this.replica = replica;
        this.machine = machine;
    }

    /** A store said something: if it was new, the placement is looked at now and not at the next tick. */
    public synchronized void onStoreHeartbeat() {
        if (replica.inspect(index -> machine.service(ServiceNames.STORES)).version() != looked) {
            onTick();
        }
    }

    public synchronized void onTick() {
        if (!replica.isActiveLeader()) {
            return;
        }
        ServiceView stores = replica.inspect(index -> machine.service(ServiceNames.STORES));
        looked = stores.version();
        Map<String, List<String>> next =
                placement.next(stores, environment.clock().monotonicTime());
        if (!next.equals(stores.placement())) {
            replica.propose(
                            new ControlMessages.PutPlacement(next, stores.version()),
                            ControlMessages.UpdateResult.class)
                    .subscribe(done -> notifyStores(), e -> {});
        }
    }

    private void notifyStores() {
        ServiceView stores = replica.inspect(index -> machine.service(ServiceNames.STORES));
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
                        .subscribe(done -> {}, e -> {}));
    }
}
