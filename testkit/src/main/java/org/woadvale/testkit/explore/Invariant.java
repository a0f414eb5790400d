package org.woadvale.testkit.explore;

/** What must hold in every state of the model. */
enum Invariant {
    ONE_LEADER_ACTS,
    ONE_LEADER_PER_TERM,
    COMMITTED_ENTRIES_STAY,
    STATE_MACHINES_AGREE,
    GROUPS_INTERSECT,
    ONE_CHANGE_AT_A_TIME,
    COMMITTED_ON_A_MAJORITY,
    ONLY_VOTERS_STAND,
    NO_STALE_READ,
    LINEARIZABLE,
    /** The engine threw what it does not declare. */
    NO_UNEXPECTED_ERROR
}
