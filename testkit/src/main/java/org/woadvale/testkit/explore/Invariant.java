package org.woadvale.testkit.explore;

/** The properties that must hold in every state of the model. */
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
    /** The engine never fails with an error other than a {@code ServiceException}. */
    NO_UNEXPECTED_ERROR
}
