package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.http.Request;

/** The platform's entry: a hash of the client picks a node of its zone, by what each says of its readiness. */
final class Entry {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration LOOK = Duration.ofMillis(800);
    private static final int MISSES = 2;
    private final SimulatedPlatformFleet network;
    private final Map<String, Integer> missed = new HashMap<>();

    Entry(SimulatedPlatformFleet network) {
        this.network = network;
        look();
    }

    private void look() {
        network.intakes.forEach(n -> network.request(
                n,
                new Request("GET", "/-/readiness", Map.of(), new byte[0]),
                LOOK,
                response -> missed.merge(
                        n, 1, (x, y) -> response.isPresent() && response.get().status() == 200 ? 0 : x + 1)));
        network.sim.after(PERIOD, this::look);
    }

    private boolean in(String node) {
        return missed.getOrDefault(node, 0) < MISSES;
    }

    /** Fewer than half of a zone's nodes in: all of them; none in: those of other zones. */
    String forClient(int client, String zone) {
        List<String> nodesOfZone = network.intakes.stream()
                .filter(n -> network.zone(n).equals(zone))
                .toList();
        List<String> in = nodesOfZone.stream().filter(this::in).toList();
        List<String> from = in.isEmpty() ? elsewhere() : in.size() * 2 < nodesOfZone.size() ? nodesOfZone : in;
        return from.get(Math.floorMod(Integer.toString(client).hashCode() * 0x9E3779B9 >>> 7, from.size()));
    }

    String any() {
        List<String> from = elsewhere();
        return from.get(network.sim.random().nextInt(from.size()));
    }

    private List<String> elsewhere() {
        List<String> in = network.intakes.stream().filter(this::in).toList();
        return in.isEmpty() ? network.intakes : in;
    }
}
