package org.woadvale.pilot.berth;

import org.woadvale.foundation.beam.Since;
import org.woadvale.foundation.chart.Layout;

/** The lane as it stood at acceptance; rules only once the layout no longer has the lane. design 9.5 */
public record LaneTerms(String service, long timeLimitMs, int attempts, long attemptMs, @Since(2) boolean rerun,
                        @Since(3) boolean resend) {
    public LaneTerms(String service, long timeLimitMs, int attempts, long attemptMs, boolean rerun) {
        this(service, timeLimitMs, attempts, attemptMs, rerun, false);
    }

    public static LaneTerms of(Layout.Lane l) {
        return new LaneTerms(l.service(), l.timeLimitMs(), l.attempts(), l.attemptMs(),
            l.ifUnclear() == Layout.IfUnclear.RERUN, l.ifUnclear() == Layout.IfUnclear.RESEND);
    }
}
