package org.woadvale.testkit.explore;

import java.util.List;

/** An invariant that did not hold, and the schedule that led to that state. */
record Violation(Invariant invariant, String detail, List<Action> trace) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(invariant + ": " + detail + " after " + trace.size() + " steps");
        int step = 0;
        for (Action action : trace) {
            step++;
            text.append(System.lineSeparator())
                    .append("  ")
                    .append(step)
                    .append(' ')
                    .append(action);
        }
        return text.toString();
    }
}
