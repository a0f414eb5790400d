package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.List;
import org.woadvale.common.rpc.RepeatableRequest;

/** What local buckets and holders say to each other (docs/design.md, section 8.3). */
public final class TokenMessages {
    /** Tokens die this long after they were asked for, by the asker's clock. */
    public static final Duration TOKEN_LIFETIME = Duration.ofSeconds(1);
    /** The owner counts them for longer, for clocks that do not run alike. */
    public static final Duration EXPIRY_MARGIN = Duration.ofMillis(100);

    /** An ask that only reports. */
    public static final long NO_GRANT = 0;

    private TokenMessages() {}

    /** Spent so far of a grant, and whether the rest is given back for good. */
    public record UsageReport(long grant, int spent, boolean closed) {}

    /** Asks the owner of a bucket for tokens, and reports what became of earlier ones. */
    public record TokenRequest(String bucket, long grant, int minimum, List<UsageReport> reports)
            implements RepeatableRequest {}

    /**
     * Granted may be zero; then retry tells when to come back. AdmissionTokens live so long, from when they were asked
     * for.
     */
    public record TokenResponse(long grant, int granted, Duration retryAfter, long term, Duration lifetime) {}

    /** All types by their numbers on the wire: only ever add at the end. */
    public static List<Class<?>> types() {
        return List.of(UsageReport.class, TokenRequest.class, TokenResponse.class);
    }
}
