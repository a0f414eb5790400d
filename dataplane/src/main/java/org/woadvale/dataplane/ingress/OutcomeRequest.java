package org.woadvale.dataplane.ingress;

import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;

/** The outcome of a fetched message as a processor reports it; the processor repeats the report until confirmed. */
public record OutcomeRequest(
        @NotNull @Pattern(regexp = PullRequest.ID) String processor,
        @Min(1) int attempt,
        @NotNull @Pattern(regexp = "done|failed|retry") String outcome,
        @Size(max = 256) String receipt) {
    /** Replaces an absent receipt with an empty one. */
    public OutcomeRequest {
        receipt = receipt == null ? "" : receipt;
    }
}
