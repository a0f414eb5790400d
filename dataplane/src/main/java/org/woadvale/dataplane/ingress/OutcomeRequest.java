package org.woadvale.dataplane.ingress;

import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;

/** What a processor reports of a fetched message; it repeats this until we confirm. */
public record OutcomeRequest(
        @NotNull @Pattern(regexp = PullRequest.ID) String processor,
        @Min(1) int attempt,
        @NotNull @Pattern(regexp = "done|failed|retry") String outcome,
        @Size(max = 256) String receipt) {
    /** Absent texts are empty. */
    public OutcomeRequest {
        receipt = receipt == null ? "" : receipt;
    }
}
