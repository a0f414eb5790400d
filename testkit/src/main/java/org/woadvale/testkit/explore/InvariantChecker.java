package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.replication.Role;

/** Checks every invariant of the replication engine in one state of the model. */
final class InvariantChecker {
    private final ModelCluster cluster;
    private final DurableRecords durable;
    private final CommittedLog committed;
    private final Map<Long, String> leadersByTerm = new TreeMap<>();
    private final Map<Long, String> contentsByIndex = new HashMap<>();

    InvariantChecker(ModelCluster cluster) {
        this.cluster = cluster;
        this.durable = new DurableRecords(cluster.codec());
        this.committed = new CommittedLog(cluster.codec(), durable);
    }

    void check() throws InvariantViolationException {
        Map<ModelNode, ReplicaProbe.Snapshot> states = new LinkedHashMap<>();
        for (ModelNode node : cluster.nodes()) {
            durable.observe(node);
            states.put(node, node.state());
        }
        checkSingleActiveLeader(states);
        for (Map.Entry<ModelNode, ReplicaProbe.Snapshot> each : states.entrySet()) {
            check(each.getKey(), each.getValue());
        }
        // after all nodes, because entries committed in this step apply to the leaders as well
        for (Map.Entry<ModelNode, ReplicaProbe.Snapshot> each : states.entrySet()) {
            checkLeader(each.getKey(), each.getValue());
        }
    }

    private static void checkSingleActiveLeader(Map<ModelNode, ReplicaProbe.Snapshot> states)
            throws InvariantViolationException {
        List<String> activeLeaders = new ArrayList<>();
        states.forEach((node, state) -> {
            if (state.activeLeader()) {
                activeLeaders.add(node.name() + " in term " + state.term());
            }
        });
        if (activeLeaders.size() > 1) {
            throw new InvariantViolationException(
                    Invariant.ONE_LEADER_ACTS, "several active leaders: " + activeLeaders);
        }
    }

    private void check(ModelNode node, ReplicaProbe.Snapshot state) throws InvariantViolationException {
        committed.observe(node, state);
        committed.checkUncommittedMembership(node, state);
        String content = node.machine().content();
        String previous = contentsByIndex.putIfAbsent(state.appliedIndex(), content);
        if (previous != null && !previous.equals(content)) {
            throw new InvariantViolationException(
                    Invariant.STATE_MACHINES_AGREE,
                    node.name() + " has " + content + " after entry " + state.appliedIndex() + ", another replica had "
                            + previous);
        }
        boolean candidateOrLeader = state.role() == Role.CANDIDATE || state.role() == Role.LEADER;
        if (candidateOrLeader && !state.voter()) {
            throw new InvariantViolationException(
                    Invariant.ONLY_VOTERS_STAND, node.name() + " is a candidate or leader but not a voter");
        }
    }

    private void checkLeader(ModelNode node, ReplicaProbe.Snapshot state) throws InvariantViolationException {
        if (state.role() != Role.LEADER) {
            return;
        }
        String previous = leadersByTerm.putIfAbsent(state.term(), node.name());
        if (previous != null && !previous.equals(node.name())) {
            throw new InvariantViolationException(
                    Invariant.ONE_LEADER_PER_TERM, node.name() + " and " + previous + " led term " + state.term());
        }
        committed.checkLeader(node, state);
        long acknowledged = cluster.clients().acknowledged();
        if (state.activeLeader() && node.machine().accepted() < acknowledged) {
            throw new InvariantViolationException(
                    Invariant.NO_STALE_READ,
                    node.name() + " reads state " + node.machine().accepted() + " but the acknowledged state is "
                            + acknowledged);
        }
    }

    CommittedLog committed() {
        return committed;
    }

    /** The state of this checker that later checks depend on, in addition to the states of the nodes. */
    List<Object> checkerState() {
        return List.of(
                committed.entries(),
                committed.group(),
                leadersByTerm,
                cluster.clients().acknowledged());
    }
}
