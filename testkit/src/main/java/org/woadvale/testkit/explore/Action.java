package org.woadvale.testkit.explore;

/** One choice of a schedule: a node's name where it concerns one, and a message number or a time in milliseconds. */
record Action(ActionKind kind, String node, long number) {
    static Action of(ActionKind kind, String node) {
        return new Action(kind, node, 0);
    }

    static Action message(ActionKind kind, long message) {
        return new Action(kind, "", message);
    }

    static Action tick(long milliseconds) {
        return new Action(ActionKind.TICK, "", milliseconds);
    }

    @Override
    public String toString() {
        return kind + (node.isEmpty() ? "" : " " + node) + (number == 0 ? "" : " " + number);
    }
}
