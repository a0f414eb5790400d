package org.woadvale.controlplane.partition;

import java.util.List;
import java.util.Map;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.Replica;

/** Writes the placement of the message partitions and tells the stores of it, while this node leads it. design 6.9 */
final class PlacementDriver {
    private final Env env;
    private final Replica replica;
    private final ControlStateMachine machine;
    private final ReplicaPlacement placement = new ReplicaPlacement();
    private long looked = -1;

    PlacementDriver(Env env, Replica replica, ControlStateMachine machine) {
        this.env = env;
        this.replica = replica;
        this.machine = machine;
    }

    /** A store said something: if it was new, the placement is looked at now and not at the next tick. */
    synchronized void heard() {
        if (replica.look(index -> machine.service(ServiceNames.STORES)).version() != looked) {
            look();
        }
    }

    synchronized void look() {
        if (!replica.mayAct()) {
            return;
        }
        ServiceView stores = replica.look(index -> machine.service(ServiceNames.STORES));
        looked = stores.version();
        Map<String, List<String>> next = placement.next(stores, env.times().mono());
        if (!next.equals(stores.placement())) {
            replica.propose(new ControlMessages.Place(next, stores.version()), ControlMessages.Done.class)
                    .subscribe(done -> tell(), e -> {});
        }
    }

    private void tell() {
        ServiceView stores = replica.look(index -> machine.service(ServiceNames.STORES));
        ControlMessages.PlacementChanged notice = new ControlMessages.PlacementChanged(stores.version());
        stores.members()
                .keySet()
                .forEach(store -> env.rpc()
                        .ask(
                                store,
                                notice,
                                ControlMessages.Done.class,
                                env.timing().ask())
                        .subscribe(done -> {}, e -> {}));
    }
}
