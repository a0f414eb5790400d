package org.woadvale.common.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.woadvale.common.rpc.Since;

/**
 * A back end as listed by the platform.
 *
 * @param address where messages are delivered; empty for a processor that fetches them
 * @param leaving whether the processor is draining
 * @param slots how many messages it runs at once; 0 if unknown
 * @param zone the zone of its machine; empty if unknown
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
