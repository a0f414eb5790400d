package org.woadvale.dataplane.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;

/** The JSON body of a request that submits a message. */
public record SubmitRequest(
        @NotNull @Pattern(regexp = "[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
        String id,

        @Size(max = 128) String orderingKey,
        @Min(0) @Max(86400000) long delayMs,
        @NotNull JsonNode body) {
    /** Replaces an absent ordering key with an empty one. */
    public SubmitRequest {
        orderingKey = orderingKey == null ? "" : orderingKey;
    }
}
