package org.woadvale.foundation.watch;

import org.woadvale.foundation.beam.Since;

/** A back end as the platform lists it; without an address it fetches. Slots: how many runs at once, 0 if not said. */
public record Processor(String address, boolean leaving, @Since(3) int slots) {
    public Processor(String address, boolean leaving) {
        this(address, leaving, 0);
    }
}
