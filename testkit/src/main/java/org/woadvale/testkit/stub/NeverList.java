package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One check for each kind of violation that must never happen; an empty list means that none was observed. */
public final class NeverList {
    private final MessageChecks messages;
    private final SlidingWindowLimits limits;
    private final OperatorChecks operator;

    public NeverList(Observations observations) {
        this.messages = new MessageChecks(observations);
        this.limits = new SlidingWindowLimits(observations);
        this.operator = new OperatorChecks(observations);
    }

    public Map<String, List<String>> all() {
        Map<String, List<String>> out = new TreeMap<>();
        out.put("01 accepted message lost", messages.lost());
        out.put("02 run again after success", messages.ranAfterSuccess());
        out.put("03 refused message ran", messages.refusedRan());
        out.put("04 order of a key broken", messages.outOfOrder());
        out.put("05 allowance exceeded", limits.tenantLimitExceeded());
        out.put("06 endpoint over its rate", limits.endpointRateExceeded());
        out.put("07 withdrawn key used", operator.withdrawnKeyUsed());
        out.put("08 layout ignored or gone back", operator.ignoredConfiguration());
        out.put("09 bad layout taken or older read", operator.badConfiguration());
        out.put("10 leaving processor got work", operator.leavingProcessorUsed());
        out.put("11 done without proof", messages.withoutProof());
        out.put("12 slow return after outage", operator.slowRecovery());
        return out;
    }

    public List<String> violations() {
        return all().entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(v -> entry.getKey() + ": " + v))
                .toList();
    }

    /** The numbers of the violated checks. */
    public List<String> broken() {
        return all().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(entry -> entry.getKey().substring(0, 2))
                .toList();
    }

    /** The highest number of events in any window of 5 s. */
    public static int maxInWindow(List<Duration> sorted) {
        return SlidingWindowLimits.maxInWindow(sorted);
    }
}
