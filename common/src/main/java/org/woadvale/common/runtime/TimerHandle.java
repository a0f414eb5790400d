package org.woadvale.common.runtime;

/** A scheduled task; cancelling one that has already run has no effect. */
@FunctionalInterface
public interface TimerHandle {
    /** Prevents the task from running, unless it has already started. */
    void cancel();
}
