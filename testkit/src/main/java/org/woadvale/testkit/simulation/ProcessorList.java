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
 * The platform's list of processors: it lags, comes in pages, and takes only so many calls a second. docs/platform.md 6
 */
public final class ProcessorList {
    private static final int PAGE = 3;

    /** One entry, as it stands since a time. */
    private record Row(String service, String address, int slots, String state, Duration since) {}

    private final Simulator sim;
    private final Duration lag;
    private final double ratePerS;
    private final Map<String, List<Row>> rows = new TreeMap<>();
    private final List<Duration> calls = new ArrayList<>();
    private boolean down;
    private int refused;

    public ProcessorList(Simulator sim, Duration lag, double ratePerS) {
        this.sim = sim;
        this.lag = lag;
        this.ratePerS = ratePerS;
    }

    public void down(boolean is) {
        down = is;
    }

    /** When the entry is shown at the latest. */
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

    private Optional<Row> shown(List<Row> all) {
        Duration by = sim.now().minus(lag);
        return all.stream()
                .filter(row -> row.since().compareTo(by) <= 0)
                .reduce((a, row) -> row)
                .filter(row -> !row.state().equals("gone"));
    }

    Mono<byte[]> page(String path) {
        calls.add(sim.now());
        long lately = calls.stream()
                .filter(c -> c.plusSeconds(1).compareTo(sim.now()) > 0)
                .count();
        if (down || lately > ratePerS) {
            refused++;
            return Mono.error(new UnavailableException(down ? "no answer" : "the list answered 429"));
        }
        int from = path.contains("pageToken=p-") ? Integer.parseInt(path.replaceAll(".*pageToken=p-", "")) : 0;
        List<Map<String, Object>> all = new ArrayList<>();
        rows.forEach((id, r) -> shown(r).ifPresent(row -> all.add(entry(id, row))));
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("instances", all.subList(Math.min(from, all.size()), Math.min(all.size(), from + PAGE)));
        out.put("nextToken", from + PAGE < all.size() ? "p-" + (from + PAGE) : null);
        return Mono.just(Configurations.write(out));
    }

    private static Map<String, Object> entry(String id, Row row) {
        Map<String, Object> e = new LinkedHashMap<>();
        e.put("service", row.service());
        e.put("address", row.address());
        e.put("zone", "hall0");
        e.put("configRevision", "v1");
        e.put("callSlots", row.slots());
        e.put("state", row.state());
        e.put("coldLeftMs", 0);
        e.put("instanceId", id);
        return e;
    }
}
