package org.woadvale.common.runtime;

import java.time.Duration;
import java.time.Instant;

/** The two clocks of a process (docs/design.md, section 2.1). */
public interface Clock {
    /** Time since an arbitrary start, which never decreases; used for all leases and ages. */
    Duration monotonicTime();

    /** Calendar time, used only for due times and for records that people read. */
    Instant wallTime();
}
