package org.woadvale.common.membership;

import org.woadvale.common.rpc.Since;

/**
 * A back end as the platform lists it; without an address it fetches. Slots: how many runs at once, 0 if not said; hall:
 * where it stands, empty if not said.
 */
public record Processor(
        String address,
        boolean leaving,
        @Since(3) int slots,
        @Since(3) String hall) {
    public Processor(String address, boolean leaving) {
        this(address, leaving, 0, "");
    }
}
