package org.woadvale.common.replication;

import java.util.OptionalLong;
import org.woadvale.common.error.ServiceException;

/**
 * The state that a partition replicates. Must be deterministic: equal commands in equal order give equal states,
 * results and failures on every replica.
 *
 * @param <C> the commands in the log
 * @param <R> the results of applying commands
 */
public interface StateMachine<C, R> {
    /** The type of all commands, used to decode them from the log. */
    Class<C> commandType();

    /**
     * Applies a committed command. Called once for each, in log order, on the replica's shard.
     *
     * @throws ServiceException if the command is rejected; the state then stays unchanged, identically on every replica
     */
    R apply(long index, C command) throws ServiceException;

    /** An upper bound of the current size of {@link #snapshot}, if it is known without creating one. */
    default OptionalLong snapshotBytes() {
        return OptionalLong.empty();
    }

    /** Encodes the entire state, for {@link #restore}. */
    byte[] snapshot();

    /** Replaces the entire state. */
    void restore(byte[] snapshot);
}
