package org.woadvale.pilot.gangway;

import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;

/** What a processor reports of a fetched message; it repeats this until we confirm. */
public record OutcomeIn(@NotNull @Pattern(regexp = FetchIn.ID) String processor, @Min(1) int attempt,
                        @NotNull @Pattern(regexp = "done|failed|retry") String outcome, @Size(max = 256) String receipt) {
    public OutcomeIn {
        receipt = receipt == null ? "" : receipt;
    }
}
