package org.woadvale.common.replication;

/** The state machine of a part; must be deterministic. */
public interface StateMachine {
    /** Called once for each committed command, in order, inside the part's shard. */
    Object apply(long index, Object command);

    byte[] snapshot();

    void restore(byte[] view);
}
