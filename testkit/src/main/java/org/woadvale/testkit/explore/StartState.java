package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Where an enumeration begins, as the actions that lead there from empty disks. */
enum StartState {
    /** Every disk is empty; the group is not founded. */
    EMPTY(cluster -> true),
    /** A leader acts, and one command has been acknowledged. */
    LED(cluster -> cluster.clients().acknowledged() > 0);

    private static final int MOST_STEPS = 500;
    private final Predicate<ModelCluster> reached;

    StartState(Predicate<ModelCluster> reached) {
        this.reached = reached;
    }

    List<Action> actions(ModelSettings settings) {
        List<Action> actions = new ArrayList<>();
        ModelCluster cluster = new ModelCluster(settings);
        try {
            while (!reached.test(cluster)) {
                Action action = ActionMenu.of(cluster).get(0);
                actions.add(action);
                cluster.apply(action);
                if (actions.size() > MOST_STEPS) {
                    throw new IllegalStateException("the calm course does not reach " + this);
                }
            }
        } catch (BrokenInvariant e) {
            throw new IllegalStateException(e.invariant() + " broke on the calm course: " + e.getMessage(), e);
        }
        return actions;
    }
}
