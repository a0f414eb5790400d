package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.List;
import org.woadvale.common.rpc.RepeatableRequest;

/** What local buckets and holders say to each other: design 8.3. */
public final class AdmissionTokens {
    /** Tokens die this long after they were asked for, by the asker's clock. */
    public static final Duration LIFE = Duration.ofSeconds(1);
    /** The holder counts them for longer, for clocks that do not run alike. */
    public static final Duration MARGIN = Duration.ofMillis(100);

    /** An ask that only reports. */
    public static final long NO_GRANT = 0;

    private AdmissionTokens() {}

    /** Spent so far of a grant, and whether the rest is given back for good. */
    public record Report(long grant, int spent, boolean closed) {}

    public record PassAsk(String bucket, long grant, int least, List<Report> reports) implements RepeatableRequest {}

    /** Granted may be zero; then retry tells when to come back. AdmissionTokens live so long, from when they were asked for. */
    public record PassReply(long grant, int granted, Duration retry, long term, Duration life) {}

    public static List<Class<?>> types() {
        return List.of(Report.class, PassAsk.class, PassReply.class);
    }
}
