package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the operators' history: the configuration is a register with compare-and-set, and each update, identified by
 * its text and base, has one decision however often it is sent. Revisions define the order of the configurations.
 */
final class ConfigurationUpdateRules {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private record Update(String text, long base) {}

    private final List<ObservationLog.OrderCall> calls;
    private final List<ObservationLog.ConfigurationRead> reads;
    private final Set<Update> acknowledged = new HashSet<>();
    private final Set<Update> refused = new HashSet<>();
    private final Map<String, Long> revisions = new HashMap<>();

    ConfigurationUpdateRules(ObservationLog log) {
        calls = log.orderCalls;
        reads = log.configurationReads;
        calls.forEach(this::classify);
    }

    private void classify(ObservationLog.OrderCall call) {
        revisions.put(call.text(), call.revision());
        if (call.status() == 200) {
            acknowledged.add(update(call));
        } else if (isRefusal(call.status())) {
            refused.add(update(call));
        }
    }

    private static Update update(ObservationLog.OrderCall call) {
        return new Update(call.text(), call.base());
    }

    private static boolean isRefusal(int status) {
        return status / 100 == 4 && status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS;
    }

    private long revision(Update update) {
        return revisions.get(update.text());
    }

    /** Updates that were both acknowledged and refused, in either order. */
    List<String> decidedTwice() {
        return acknowledged.stream()
                .filter(refused::contains)
                .map(update ->
                        "revision " + revision(update) + " on " + update.base() + " was acknowledged and refused")
                .toList();
    }

    /** Acknowledged updates whose base is older than the previous acknowledged revision, so that they overwrite it. */
    List<String> lostUpdates() {
        List<Update> all = acknowledged.stream()
                .sorted(Comparator.comparingLong(this::revision))
                .toList();
        List<String> out = new ArrayList<>();
        for (int i = 1; i < all.size(); i++) {
            if (all.get(i).base() < revision(all.get(i - 1))) {
                out.add("revision " + revision(all.get(i)) + " was acknowledged on "
                        + all.get(i).base() + " after " + revision(all.get(i - 1)) + " had been acknowledged");
            }
        }
        return out;
    }

    /** Reads that returned a text that was never sent or whose updates were all refused. */
    List<String> refusedInForce() {
        Set<String> notRefused = new HashSet<>();
        calls.stream().filter(call -> !refused.contains(update(call))).forEach(call -> notRefused.add(call.text()));
        return reads.stream()
                .filter(read -> !notRefused.contains(read.text()))
                .map(read -> "read at " + read.answered() + ": revision " + revisions.getOrDefault(read.text(), -1L)
                        + ", which was refused or never sent")
                .toList();
    }

    /** Reads that returned a revision older than one acknowledged or read before they started. */
    List<String> staleReads() {
        List<String> out = new ArrayList<>();
        for (ObservationLog.ConfigurationRead read : reads) {
            long newest = Math.max(acknowledgedBefore(read.sent()), readBefore(read.sent()));
            long seen = revisions.getOrDefault(read.text(), 0L);
            if (seen < newest) {
                out.add("read from " + read.sent() + " to " + read.answered() + ": " + seen + ", latest known: "
                        + newest);
            }
        }
        return out;
    }

    private long acknowledgedBefore(Duration moment) {
        return calls.stream()
                .filter(call -> call.status() == 200 && call.answered().compareTo(moment) < 0)
                .mapToLong(ObservationLog.OrderCall::revision)
                .max()
                .orElse(0);
    }

    private long readBefore(Duration moment) {
        return reads.stream()
                .filter(read -> read.answered().compareTo(moment) < 0)
                .mapToLong(read -> revisions.getOrDefault(read.text(), 0L))
                .max()
                .orElse(0);
    }
}
