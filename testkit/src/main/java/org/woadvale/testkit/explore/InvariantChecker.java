package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.replication.Role;

/** Looks at every invariant of the replication engine in one state of the model. */
final class InvariantChecker {
    private final ModelCluster cluster;
    private final DurableRecords durable;
    private final CommittedLog committed;
    private final Map<Long, String> leaders = new TreeMap<>();
    private final Map<Long, String> contents = new HashMap<>();

    InvariantChecker(ModelCluster cluster) {
        this.cluster = cluster;
        this.durable = new DurableRecords(cluster.codec());
        this.committed = new CommittedLog(cluster.codec(), durable);
    }

    void check() throws BrokenInvariant {
        Map<ModelNode, ReplicaProbe.Snapshot> states = new LinkedHashMap<>();
        for (ModelNode node : cluster.nodes()) {
            durable.observe(node);
            states.put(node, node.state());
        }
        checkActing(states);
        for (Map.Entry<ModelNode, ReplicaProbe.Snapshot> each : states.entrySet()) {
            check(each.getKey(), each.getValue());
        }
        // what was committed in this very step binds the leaders too
        for (Map.Entry<ModelNode, ReplicaProbe.Snapshot> each : states.entrySet()) {
            checkLeader(each.getKey(), each.getValue());
        }
    }

    private static void checkActing(Map<ModelNode, ReplicaProbe.Snapshot> states) throws BrokenInvariant {
        List<String> acting = new ArrayList<>();
        states.forEach((node, state) -> {
            if (state.activeLeader()) {
                acting.add(node.name() + " in term " + state.term());
            }
        });
        if (acting.size() > 1) {
            throw new BrokenInvariant(Invariant.ONE_LEADER_ACTS, "leaders acting at once: " + acting);
        }
    }

    private void check(ModelNode node, ReplicaProbe.Snapshot state) throws BrokenInvariant {
        committed.observe(node, state);
        committed.checkChanges(node, state);
        String content = node.machine().content();
        String before = contents.putIfAbsent(state.appliedIndex(), content);
        if (before != null && !before.equals(content)) {
            throw new BrokenInvariant(
                    Invariant.STATE_MACHINES_AGREE,
                    node.name() + " has " + content + " after entry " + state.appliedIndex() + ", another " + before);
        }
        boolean candidate = state.role() == Role.CANDIDATE || state.role() == Role.LEADER;
        if (candidate && !state.voter()) {
            throw new BrokenInvariant(Invariant.ONLY_VOTERS_STAND, node.name() + " stands and is no voter");
        }
    }

    private void checkLeader(ModelNode node, ReplicaProbe.Snapshot state) throws BrokenInvariant {
        if (state.role() != Role.LEADER) {
            return;
        }
        String other = leaders.putIfAbsent(state.term(), node.name());
        if (other != null && !other.equals(node.name())) {
            throw new BrokenInvariant(
                    Invariant.ONE_LEADER_PER_TERM, node.name() + " and " + other + " led term " + state.term());
        }
        committed.checkLeader(node, state);
        long acknowledged = cluster.clients().acknowledged();
        if (state.activeLeader() && node.machine().accepted() < acknowledged) {
            throw new BrokenInvariant(
                    Invariant.NO_STALE_READ,
                    node.name() + " reads state " + node.machine().accepted() + ", acknowledged was " + acknowledged);
        }
    }

    CommittedLog committed() {
        return committed;
    }

    /** What the later verdicts depend on besides the states of the nodes. */
    List<Object> memory() {
        return List.of(
                committed.entries(),
                committed.group(),
                leaders,
                cluster.clients().acknowledged());
    }
}
