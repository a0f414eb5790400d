package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadvale.common.replication.ReplicaProbe;

/** What may happen next in a state: first the calm course of things, then everything that deviates from it. */
final class ActionMenu {
    private static final int MOST_MEMBERSHIP_CHANGES = 2;
    private static final Duration BETWEEN_PROPOSALS = ModelCluster.UNIT.multipliedBy(3);
    private final ModelCluster cluster;
    private final List<Action> actions = new ArrayList<>();

    private ActionMenu(ModelCluster cluster) {
        this.cluster = cluster;
    }

    /** Never empty; the first action is the default one. The order depends on the state alone. */
    static List<Action> of(ModelCluster cluster) {
        ActionMenu menu = new ActionMenu(cluster);
        menu.fill();
        return menu.actions;
    }

    private void fill() {
        addSyncs();
        addLearning();
        addDeliveries();
        addProposal();
        add(Action.tick(ModelCluster.UNIT.toMillis()));
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

    private void addLearning() {
        cluster.nodes().stream()
                .filter(node -> !node.frozen() && !node.wanted().equals(cluster.wanted()))
                .forEach(node -> add(Action.of(ActionKind.LEARN_MEMBERS, node.name())));
    }

    private boolean arrives(ModelNetwork.Message message) {
        return !cluster.node(message.to()).frozen();
    }

    private void addDeliveries() {
        cluster.network().messages().stream()
                .filter(message -> !message.held() && arrives(message))
                .forEach(message -> add(Action.message(ActionKind.DELIVER, message.id())));
    }

    /** By default clients propose at the acting leader, from time to time. */
    private void addProposal() {
        if (cluster.clients().proposed() >= cluster.settings().commands()) {
            return;
        }
        boolean due = cluster.clients().sinceLastProposal().compareTo(BETWEEN_PROPOSALS) >= 0;
        cluster.actingLeader()
                .filter(leader -> due)
                .ifPresent(leader -> add(Action.of(ActionKind.PROPOSE, leader.name())));
    }

    private void addNetworkFaults() {
        boolean first = true;
        for (ModelNetwork.Message message : cluster.network().messages()) {
            if (message.held() && arrives(message)) {
                add(Action.message(ActionKind.DELIVER, message.id()));
            } else if (first && arrives(message)) {
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
        if (mayLoseDisk(node)) {
            add(Action.of(ActionKind.WIPE, node.name()));
        }
        add(Action.of(node.frozen() ? ActionKind.THAW : ActionKind.FREEZE, node.name()));
        ReplicaProbe.Snapshot state = node.state();
        if (!node.frozen() && !node.disk().hasPending() && state.appliedIndex() > state.baseIndex()) {
            add(Action.of(ActionKind.COMPACT, node.name()));
        }
    }

    /** One disk is lost at a time: the next only when the group names the present disk of every other member. */
    private boolean mayLoseDisk(ModelNode lost) {
        Map<String, String> group = cluster.committedGroup();
        if (group.isEmpty()) {
            return cluster.nodes().stream().allMatch(node -> node.diskGeneration() == 0);
        }
        return group.entrySet().stream()
                .filter(member -> !member.getKey().equals(lost.name()))
                .allMatch(member ->
                        cluster.node(member.getKey()).state().identity().equals(member.getValue()));
    }

    private void addMembership() {
        if (cluster.membershipChanges() < MOST_MEMBERSHIP_CHANGES) {
            cluster.wanted().forEach(name -> add(Action.of(ActionKind.CHANGE_MEMBERS, name)));
        }
        cluster.actingLeader()
                .filter(leader -> leader.replica().successor().isPresent())
                .ifPresent(leader -> add(Action.of(ActionKind.TRANSFER, leader.name())));
    }
}
