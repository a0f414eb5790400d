package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadvale.common.replication.ReplicaProbe;

/** The actions that are possible in a state: first those of the default schedule, then the deviations from it. */
final class EnabledActions {
    private static final int MAX_MEMBERSHIP_CHANGES = 2;
    private static final Duration PROPOSAL_INTERVAL = ModelCluster.TICK.multipliedBy(3);
    private final ModelCluster cluster;
    private final List<Action> actions = new ArrayList<>();

    private EnabledActions(ModelCluster cluster) {
        this.cluster = cluster;
    }

    /** Never empty; the first action is the default one. The order depends only on the state. */
    static List<Action> of(ModelCluster cluster) {
        EnabledActions enabled = new EnabledActions(cluster);
        enabled.addAll();
        return enabled.actions;
    }

    private void addAll() {
        addSyncs();
        addMemberUpdates();
        addDeliveries();
        addProposal();
        add(Action.tick(ModelCluster.TICK.toMillis()));
        addNetworkFaults();
        cluster.nodes().forEach(this::addNodeFaults);
        addMembership();
    }

    private void add(Action action) {
        actions.add(action);
    }

    private void addSyncs() {
        for (ModelNode node : cluster.nodes()) {
            if (!node.frozen() && node.disk().hasPending()) {
                add(Action.of(ActionKind.SYNC, node.name()));
            }
        }
    }

    private void addMemberUpdates() {
        cluster.nodes().stream()
                .filter(node -> !node.frozen() && !node.desiredMembers().equals(cluster.desiredMembers()))
                .forEach(node -> add(Action.of(ActionKind.LEARN_MEMBERS, node.name())));
    }

    private boolean isDeliverable(ModelNetwork.Message message) {
        return !cluster.node(message.to()).frozen();
    }

    private void addDeliveries() {
        cluster.network().messages().stream()
                .filter(message -> !message.held() && isDeliverable(message))
                .forEach(message -> add(Action.message(ActionKind.DELIVER, message.id())));
    }

    /** In the default schedule, clients propose at the active leader at a fixed interval. */
    private void addProposal() {
        if (cluster.clients().proposed() >= cluster.settings().commands()) {
            return;
        }
        boolean due = cluster.clients().sinceLastProposal().compareTo(PROPOSAL_INTERVAL) >= 0;
        cluster.activeLeader()
                .filter(leader -> due)
                .ifPresent(leader -> add(Action.of(ActionKind.PROPOSE, leader.name())));
    }

    private void addNetworkFaults() {
        boolean first = true;
        for (ModelNetwork.Message message : cluster.network().messages()) {
            if (message.held() && isDeliverable(message)) {
                add(Action.message(ActionKind.DELIVER, message.id()));
            } else if (first && isDeliverable(message)) {
                first = false;
                add(Action.message(ActionKind.HOLD, message.id()));
                if (!message.reply()) {
                    add(Action.message(ActionKind.DUPLICATE, message.id()));
                }
            }
        }
    }

    private void addNodeFaults(ModelNode node) {
        add(Action.of(ActionKind.CRASH, node.name()));
        if (node.disk().hasPending()) {
            add(Action.of(ActionKind.POWER_LOSS, node.name()));
        }
        if (canLoseDisk(node)) {
            add(Action.of(ActionKind.WIPE, node.name()));
        }
        add(Action.of(node.frozen() ? ActionKind.THAW : ActionKind.FREEZE, node.name()));
        ReplicaProbe.Snapshot state = node.state();
        if (!node.frozen() && !node.disk().hasPending() && state.appliedIndex() > state.baseIndex()) {
            add(Action.of(ActionKind.COMPACT, node.name()));
        }
    }

    /** Disks are lost one at a time: the committed members must hold the current identity of every other member. */
    private boolean canLoseDisk(ModelNode node) {
        Map<String, String> group = cluster.committedMembers();
        if (group.isEmpty()) {
            return cluster.nodes().stream().allMatch(other -> other.diskGeneration() == 0);
        }
        return group.entrySet().stream()
                .filter(member -> !member.getKey().equals(node.name()))
                .allMatch(member ->
                        cluster.node(member.getKey()).state().identity().equals(member.getValue()));
    }

    private void addMembership() {
        if (cluster.membershipChanges() < MAX_MEMBERSHIP_CHANGES) {
            cluster.desiredMembers().forEach(name -> add(Action.of(ActionKind.CHANGE_MEMBERS, name)));
        }
        cluster.activeLeader()
                .filter(leader -> leader.replica().successor().isPresent())
                .ifPresent(leader -> add(Action.of(ActionKind.TRANSFER, leader.name())));
    }
}
