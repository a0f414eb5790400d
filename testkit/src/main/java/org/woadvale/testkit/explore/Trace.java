package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/** The choices that lead to a state, as a list that shares its beginning with others. */
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

    /** No choice yet. */
    static Trace empty() {
        return new Trace(Optional.empty(), Action.tick(0), 0, 0);
    }

    Trace then(Action next, boolean deviation) {
        return new Trace(Optional.of(this), next, depth + 1, deviations + (deviation ? 1 : 0));
    }

    int depth() {
        return depth;
    }

    /** How many of the choices were not the default ones. */
    int deviations() {
        return deviations;
    }

    List<Action> actions() {
        List<Action> actions = new ArrayList<>(depth);
        Trace at = this;
        while (at.parent.isPresent()) {
            actions.add(at.action);
            at = at.parent.get();
        }
        Collections.reverse(actions);
        return actions;
    }
}
