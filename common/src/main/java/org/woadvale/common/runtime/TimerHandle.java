package org.woadvale.common.runtime;

/** A pending call; cancelling one that has run does nothing. */
@FunctionalInterface
public interface TimerHandle {
    void cancel();
}
