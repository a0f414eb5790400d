package org.woadvale.common.runtime;

import java.time.Duration;
import java.time.Instant;

/** The two clocks of a process (docs/design.md, section 2.1). */
public interface Clock {
    /** Time since an arbitrary start; never goes back; used for every lease and age. */
    Duration monotonicTime();

    /** Calendar time; used only for due times and records shown to people. */
    Instant wallTime();
}
