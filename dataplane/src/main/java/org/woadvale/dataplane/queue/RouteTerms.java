package org.woadvale.dataplane.queue;

import org.woadvale.common.config.Configuration;
import org.woadvale.common.rpc.Since;

/**
 * The delivery terms of a lane as configured when a message was accepted. They apply only once the configuration no
 * longer has the lane. (docs/design.md, section 9.5)
 */
public record RouteTerms(
        String service,
        long timeLimitMs,
        int attempts,
        long attemptMs,
        @Since(2) boolean rerun,
        @Since(3) boolean resend) {
    /** Terms of a lane that does not resend messages of unknown outcome. */
    public RouteTerms(String service, long timeLimitMs, int attempts, long attemptMs, boolean rerun) {
        this(service, timeLimitMs, attempts, attemptMs, rerun, false);
    }

    /** The terms of a lane as configured. */
    public static RouteTerms of(Configuration.Lane lane) {
        return new RouteTerms(
                lane.service(),
                lane.timeLimitMs(),
                lane.attempts(),
                lane.attemptMs(),
                lane.ifUnclear() == Configuration.UnknownOutcomePolicy.RERUN,
                lane.ifUnclear() == Configuration.UnknownOutcomePolicy.RESEND);
    }
}
