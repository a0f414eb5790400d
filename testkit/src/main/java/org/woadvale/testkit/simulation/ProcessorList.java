package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.UnavailableException;
import reactor.core.publisher.Mono;

/**
 * The platform's list of processors: it lags, is paged, and limits the calls per second (docs/platform.md, section 6).
 */
public final class ProcessorList {
    private static final int PAGE_SIZE = 3;

    /** One state of an entry and the time from which it holds. */
    private record Row(String service, String address, int slots, String state, Duration since) {}

    private final Simulator sim;
    private final Duration lag;
    private final double ratePerS;
    private final Map<String, List<Row>> rows = new TreeMap<>();
    private final List<Duration> calls = new ArrayList<>();
    private boolean setUnavailable;
    private int refused;

    public ProcessorList(Simulator sim, Duration lag, double ratePerS) {
        this.sim = sim;
        this.lag = lag;
        this.ratePerS = ratePerS;
    }

    public void setUnavailable(boolean unavailable) {
        setUnavailable = unavailable;
    }

    /** Sets the state of an entry; returns the time at which the list shows it at the latest. */
    public Duration put(String id, String service, String address, int slots, String state) {
        rows.computeIfAbsent(id, k -> new ArrayList<>()).add(new Row(service, address, slots, state, sim.now()));
        return sim.now().plus(lag);
    }

    public Duration drop(String id) {
        return put(id, "", "", 0, "gone");
    }

    public int calls() {
        return calls.size();
    }

    public int refused() {
        return refused;
    }

    private Optional<Row> visibleRow(List<Row> states) {
        Duration visibleUntil = sim.now().minus(lag);
        return states.stream()
                .filter(row -> row.since().compareTo(visibleUntil) <= 0)
                .reduce((earlier, row) -> row)
                .filter(row -> !row.state().equals("gone"));
    }

    Mono<byte[]> page(String path) {
        calls.add(sim.now());
        long recentCalls = calls.stream()
                .filter(call -> call.plusSeconds(1).compareTo(sim.now()) > 0)
                .count();
        if (setUnavailable || recentCalls > ratePerS) {
            refused++;
            return Mono.error(new UnavailableException(setUnavailable ? "no answer" : "the list answered 429"));
        }
        int from = path.contains("pageToken=p-") ? Integer.parseInt(path.replaceAll(".*pageToken=p-", "")) : 0;
        List<Map<String, Object>> entries = new ArrayList<>();
        rows.forEach((id, states) -> visibleRow(states).ifPresent(row -> entries.add(entry(id, row))));
        Map<String, Object> page = new LinkedHashMap<>();
        page.put(
                "instances",
                entries.subList(Math.min(from, entries.size()), Math.min(entries.size(), from + PAGE_SIZE)));
        page.put("nextToken", from + PAGE_SIZE < entries.size() ? "p-" + (from + PAGE_SIZE) : null);
        return Mono.just(Configurations.write(page));
    }

    private static Map<String, Object> entry(String id, Row row) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", row.service());
        entry.put("address", row.address());
        entry.put("zone", "hall0");
        entry.put("configRevision", "v1");
        entry.put("callSlots", row.slots());
        entry.put("state", row.state());
        entry.put("coldLeftMs", 0);
        entry.put("instanceId", id);
        return entry;
    }
}
