package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.List;
import org.woadvale.common.rpc.RepeatableRequest;

/** Messages between local buckets and the owners of aggregate buckets (docs/design.md, section 8.3). */
public final class TokenMessages {
    /** How long tokens are valid after they were requested, by the clock of the requester. */
    public static final Duration TOKEN_LIFETIME = Duration.ofSeconds(1);
    /** How much longer the owner counts tokens as outstanding, as clocks may run at different rates. */
    public static final Duration EXPIRY_MARGIN = Duration.ofMillis(100);

    /** The grant id of a request that only reports usage. */
    public static final long NO_GRANT = 0;

    private TokenMessages() {}

    /** How many tokens of a grant are spent so far; {@code closed} returns the rest for good. */
    public record UsageReport(long grant, int spent, boolean closed) {}

    /** Requests tokens from the owner of a bucket and reports the usage of earlier grants. */
    public record TokenRequest(String bucket, long grant, int minimum, List<UsageReport> reports)
            implements RepeatableRequest {}

    /**
     * The response to a request for tokens.
     *
     * @param granted may be zero
     * @param retryAfter when to retry if no tokens were granted
     * @param lifetime how long the tokens are valid, counted from their request
     */
    public record TokenResponse(long grant, int granted, Duration retryAfter, long term, Duration lifetime) {}

    /** All types in the order of their numbers on the wire; append only. */
    public static List<Class<?>> types() {
        return List.of(UsageReport.class, TokenRequest.class, TokenResponse.class);
    }
}
