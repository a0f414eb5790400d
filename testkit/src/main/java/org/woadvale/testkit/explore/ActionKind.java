package org.woadvale.testkit.explore;

/** The kinds of action in the model; each action is one step of a schedule. */
enum ActionKind {
    /** A node's pending writes are synced, and their callbacks run. */
    SYNC,
    /** A message is delivered to its receiver. */
    DELIVER,
    /** A message is delayed; it may be delivered at any later step, or never. */
    HOLD,
    /** A request is delivered, and a copy of it is delayed. */
    DUPLICATE,
    /** Time advances, and the due timers of all nodes that are not frozen run. */
    TICK,
    /** A client proposes a command at a node. */
    PROPOSE,
    /** The process restarts; records that were written but not yet synced survive. */
    CRASH,
    /** The machine loses power and restarts; unsynced records are lost. */
    POWER_LOSS,
    /** The disk is lost, and the node restarts with an empty one. */
    WIPE,
    /** The node pauses while its clock keeps running. */
    FREEZE,
    /** A frozen node resumes. */
    THAW,
    /** The desired members change; no node has been notified yet. */
    CHANGE_MEMBERS,
    /** A node is notified of the current desired members. */
    LEARN_MEMBERS,
    /** The leader transfers leadership to its preferred successor. */
    TRANSFER,
    /** A node writes a snapshot and discards the log before it. */
    COMPACT
}
