package org.woadvale.testkit.explore;

/**
 * One step of a schedule.
 *
 * @param node the node that the action concerns, or empty
 * @param number a message id, or a time in milliseconds for {@link ActionKind#TICK}; otherwise 0
 */
record Action(ActionKind kind, String node, long number) {
    static Action of(ActionKind kind, String node) {
        return new Action(kind, node, 0);
    }

    static Action message(ActionKind kind, long messageId) {
        return new Action(kind, "", messageId);
    }

    static Action tick(long milliseconds) {
        return new Action(ActionKind.TICK, "", milliseconds);
    }

    @Override
    public String toString() {
        return kind + (node.isEmpty() ? "" : " " + node) + (number == 0 ? "" : " " + number);
    }
}
