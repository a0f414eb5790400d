package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/** The actions that lead to a state, as a linked list that shares its prefix with other traces. */
final class Trace {
    private final Optional<Trace> parent;
    private final Action action;
    private final int depth;
    private final int deviations;

    private Trace(Optional<Trace> parent, Action action, int depth, int deviations) {
        this.parent = parent;
        this.action = action;
        this.depth = depth;
        this.deviations = deviations;
    }

    /** The trace of the start state. */
    static Trace empty() {
        return new Trace(Optional.empty(), Action.tick(0), 0, 0);
    }

    Trace append(Action action, boolean deviation) {
        return new Trace(Optional.of(this), action, depth + 1, deviations + (deviation ? 1 : 0));
    }

    int depth() {
        return depth;
    }

    /** The number of actions that were not the default one. */
    int deviations() {
        return deviations;
    }

    List<Action> actions() {
        List<Action> actions = new ArrayList<>(depth);
        Trace current = this;
        while (current.parent.isPresent()) {
            actions.add(current.action);
            current = current.parent.get();
        }
        Collections.reverse(actions);
        return actions;
    }
}
