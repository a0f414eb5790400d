package org.woadvale.common.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.woadvale.common.rpc.Since;

/**
 * A back end as the platform lists it; without an address it fetches. Slots: how many runs at once, 0 if not said;
 * zone: where it stands, empty if not said.
 */
public record Processor(
        String address,
        boolean leaving,
        @Since(3) int slots,
        @JsonProperty("hall") @Since(3) String zone) {
    /** A processor without a number of slots and without a zone. */
    public Processor(String address, boolean leaving) {
        this(address, leaving, 0, "");
    }
}
