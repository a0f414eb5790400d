package org.woadvale.foundation.lantern;

/** A pending call; cancelling one that has run does nothing. */
@FunctionalInterface
public interface Schedule {
    void cancel();
}
