package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One check for each line of what must never happen. Empty answers: nothing wrong was seen. */
public final class NeverList {
    private final AnswerFaults fates;
    private final Windows windows;
    private final Orders orders;

    public NeverList(Observations observations) {
        this.fates = new AnswerFaults(observations);
        this.windows = new Windows(observations);
        this.orders = new Orders(observations);
    }

    public Map<String, List<String>> all() {
        Map<String, List<String>> out = new TreeMap<>();
        out.put("01 accepted message lost", fates.lost());
        out.put("02 run again after success", fates.runAgain());
        out.put("03 refused message ran", fates.refusedRan());
        out.put("04 order of a key broken", fates.order());
        out.put("05 allowance exceeded", windows.allowance());
        out.put("06 endpoint over its rate", windows.rate());
        out.put("07 withdrawn key used", orders.withdrawnKey());
        out.put("08 layout ignored or gone back", orders.ignoredConfiguration());
        out.put("09 bad layout taken or older read", orders.badConfiguration());
        out.put("10 leaving processor got work", orders.leaving());
        out.put("11 done without proof", fates.proof());
        out.put("12 slow return after outage", orders.outage());
        return out;
    }

    public List<String> violations() {
        return all().entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(v -> entry.getKey() + ": " + v))
                .toList();
    }

    /** The numbers of the broken lines. */
    public List<String> broken() {
        return all().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(entry -> entry.getKey().substring(0, 2))
                .toList();
    }

    /** The most in any window of 5 s. */
    public static int worst(List<Duration> sorted) {
        return Windows.worst(sorted);
    }
}
