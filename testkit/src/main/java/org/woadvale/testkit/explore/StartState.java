package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The state in which an enumeration begins, reached from empty disks by the default schedule. */
enum StartState {
    /** Every disk is empty; the group is not bootstrapped. */
    EMPTY(cluster -> true),
    /** A leader is active, and one command has been acknowledged. */
    LED(cluster -> cluster.clients().acknowledged() > 0);

    private static final int MAX_STEPS = 500;
    private final Predicate<ModelCluster> reached;

    StartState(Predicate<ModelCluster> reached) {
        this.reached = reached;
    }

    List<Action> actions(ModelSettings settings) {
        List<Action> actions = new ArrayList<>();
        ModelCluster cluster = new ModelCluster(settings);
        try {
            while (!reached.test(cluster)) {
                Action action = EnabledActions.of(cluster).get(0);
                actions.add(action);
                cluster.apply(action);
                if (actions.size() > MAX_STEPS) {
                    throw new IllegalStateException("the default schedule does not reach the start state " + this);
                }
            }
        } catch (InvariantViolationException e) {
            throw new IllegalStateException(
                    e.invariant() + " was violated in the default schedule: " + e.getMessage(), e);
        }
        return actions;
    }
}
