package org.woadvale.dataplane.ingress;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * What a processor asks for; with the same fetch id, again, if it did not get the answer. (docs/design.md, section 9.3)
 */
public record PullRequest(
        @NotNull @Pattern(regexp = ID) String processor,
        @Min(0) @Max(10000) long waitMs,
        @Min(0) @Max(32) int most,
        @Pattern(regexp = "(" + ID + ")?") String fetch,
        boolean again) {
    static final String ID = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** Absent values have their usual ones. */
    public PullRequest {
        most = most == 0 ? 1 : most;
        fetch = fetch == null ? "" : fetch;
    }
}
