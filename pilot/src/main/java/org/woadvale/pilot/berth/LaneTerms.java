package org.woadvale.pilot.berth;

import org.woadvale.foundation.beam.Since;
import org.woadvale.foundation.chart.Layout;

/** The lane as it stood at acceptance; rules only once the layout no longer has the lane. design 9.5 */
public record LaneTerms(String service, long timeLimitMs, int attempts, long attemptMs, @Since(2) boolean rerun) {
    public static LaneTerms of(Layout.Lane l) {
        return new LaneTerms(l.service(), l.timeLimitMs(), l.attempts(), l.attemptMs(),
            l.ifUnclear() == Layout.IfUnclear.RERUN);
    }
}
