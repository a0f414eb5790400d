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
 * Checks the operators' history: the configuration is a register with compare-and-set, and each order, told by its text
 * and base, has one decision however often it is sent. Revisions tell the order of the configurations.
 */
final class OrderRules {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private record Order(String text, long base) {}

    private final List<ObservationLog.OrderCall> calls;
    private final List<ObservationLog.ConfigurationRead> reads;
    private final Set<Order> acknowledged = new HashSet<>();
    private final Set<Order> refused = new HashSet<>();
    private final Map<String, Long> revisions = new HashMap<>();

    OrderRules(ObservationLog log) {
        calls = log.orderCalls;
        reads = log.configurationReads;
        calls.forEach(this::count);
    }

    private void count(ObservationLog.OrderCall call) {
        revisions.put(call.text(), call.revision());
        if (call.status() == 200) {
            acknowledged.add(order(call));
        } else if (isRefusal(call.status())) {
            refused.add(order(call));
        }
    }

    private static Order order(ObservationLog.OrderCall call) {
        return new Order(call.text(), call.base());
    }

    private static boolean isRefusal(int status) {
        return status / 100 == 4 && status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS;
    }

    private long revision(Order order) {
        return revisions.get(order.text());
    }

    /** An order was acknowledged and refused, in whatever sequence. */
    List<String> decidedTwice() {
        return acknowledged.stream()
                .filter(refused::contains)
                .map(order -> "revision " + revision(order) + " on " + order.base() + " was acknowledged and refused")
                .toList();
    }

    /** Two orders on one base, or one between the base and the revision of another. */
    List<String> successions() {
        List<Order> all = acknowledged.stream()
                .sorted(Comparator.comparingLong(this::revision))
                .toList();
        List<String> out = new ArrayList<>();
        for (int i = 1; i < all.size(); i++) {
            if (all.get(i).base() < revision(all.get(i - 1))) {
                out.add("revision " + revision(all.get(i)) + " was acknowledged on "
                        + all.get(i).base() + " though " + revision(all.get(i - 1)) + " was too");
            }
        }
        return out;
    }

    /** A reading shows a text that nobody sent, or whose every order was refused. */
    List<String> refusedInForce() {
        Set<String> open = new HashSet<>();
        calls.stream()
                .filter(orderCall -> !refused.contains(order(orderCall)))
                .forEach(orderCall -> open.add(orderCall.text()));
        return reads.stream()
                .filter(configurationRead -> !open.contains(configurationRead.text()))
                .map(configurationRead -> "read at " + configurationRead.answered() + ": revision "
                        + revisions.getOrDefault(configurationRead.text(), -1L) + ", which was refused or never sent")
                .toList();
    }

    /** A reading is older than what was acknowledged, or read by another, before it began. */
    List<String> staleReads() {
        List<String> out = new ArrayList<>();
        for (ObservationLog.ConfigurationRead read : reads) {
            long newest = Math.max(acknowledgedBefore(read.sent()), readBefore(read.sent()));
            long seen = revisions.getOrDefault(read.text(), 0L);
            if (seen < newest) {
                out.add("read from " + read.sent() + " to " + read.answered() + ": " + seen + ", known was " + newest);
            }
        }
        return out;
    }

    private long acknowledgedBefore(Duration moment) {
        return calls.stream()
                .filter(orderCall ->
                        orderCall.status() == 200 && orderCall.answered().compareTo(moment) < 0)
                .mapToLong(ObservationLog.OrderCall::revision)
                .max()
                .orElse(0);
    }

    private long readBefore(Duration moment) {
        return reads.stream()
                .filter(configurationRead -> configurationRead.answered().compareTo(moment) < 0)
                .mapToLong(configurationRead -> revisions.getOrDefault(configurationRead.text(), 0L))
                .max()
                .orElse(0);
    }
}
