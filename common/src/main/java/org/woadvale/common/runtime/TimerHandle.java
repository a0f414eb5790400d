package org.woadvale.common.runtime;

/** A pending call; cancelling one that has run does nothing. */
@FunctionalInterface
public interface TimerHandle {
    /** The task does not run any more, unless it runs already. */
    void cancel();
}
