package org.woadvale.dataplane.ingress;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * The body of a pull by a processor. A processor that got no response repeats the pull with the same fetch id and
 * {@code again} set. (docs/design.md, section 9.3)
 */
public record PullRequest(
        @NotNull @Pattern(regexp = ID) String processor,
        @Min(0) @Max(10000) long waitMs,
        @Min(0) @Max(32) int most,
        @Pattern(regexp = "(" + ID + ")?") String fetch,
        boolean again) {
    static final String ID = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** Replaces absent values with their defaults. */
    public PullRequest {
        most = most == 0 ? 1 : most;
        fetch = fetch == null ? "" : fetch;
    }
}
