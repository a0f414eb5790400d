package org.woadvale.common.replication;

import java.util.OptionalLong;
import org.woadvale.common.error.ServiceException;

/**
 * The state that a partition replicates. Must be deterministic: equal commands in equal order give equal states,
 * results and failures on every replica.
 *
 * @param <C> the commands that the log holds
 * @param <R> what applying a command answers
 */
public interface StateMachine<C, R> {
    /** The type of all commands, to read them back from the log. */
    Class<C> commandType();

    /**
     * Applies a committed command. Called once for each, in the order of the log, on the replica's shard.
     *
     * @throws ServiceException if the command is rejected; the state is unchanged then, on every replica alike
     */
    R apply(long index, C command) throws ServiceException;

    /** The most bytes that {@link #snapshot} has now, if that is known without making one. */
    default OptionalLong snapshotBytes() {
        return OptionalLong.empty();
    }

    /** All of the state, for {@link #restore}. */
    byte[] snapshot();

    /** Replaces all of the state. */
    void restore(byte[] snapshot);
}
