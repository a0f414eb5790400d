package org.woadvale.testkit.explore;

/** What may happen next in the model; each is one step of the schedule. */
enum ActionKind {
    /** A node's pending writes reach its disk, and their callbacks run. */
    SYNC,
    /** A message is handed to its receiver. */
    DELIVER,
    /** A message is kept back; it may be delivered at any later step, or never. */
    HOLD,
    /** A request is delivered, and a copy of it is kept back. */
    DUPLICATE,
    /** Time passes, and the due timers of the nodes that are not frozen run. */
    TICK,
    /** A client proposes a command at a node. */
    PROPOSE,
    /** The process ends and starts again; what was written and not synced survives. */
    CRASH,
    /** The machine loses power and starts again; what was not synced is lost. */
    POWER_LOSS,
    /** The disk is lost, and the node starts again with an empty one. */
    WIPE,
    /** The node does nothing while its clock runs on. */
    FREEZE,
    /** A frozen node goes on. */
    THAW,
    /** Another list of members is wanted; the nodes have not heard of it. */
    CHANGE_MEMBERS,
    /** A node is told which members are wanted now. */
    LEARN_MEMBERS,
    /** The leader hands leadership to its best successor. */
    TRANSFER,
    /** A node writes a snapshot and drops the log before it. */
    COMPACT
}
