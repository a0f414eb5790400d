package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.http.Request;

/** The platform's load balancer: a hash of the client picks among the ready nodes of its zone. */
final class LoadBalancer {
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);
    private static final int FAILED_PROBES_UNTIL_UNHEALTHY = 2;
    private final SimulatedPlatformFleet network;
    private final Map<String, Integer> failedProbes = new HashMap<>();

    LoadBalancer(SimulatedPlatformFleet network) {
        this.network = network;
        probe();
    }

    private void probe() {
        network.intakes.forEach(node -> network.request(
                node,
                new Request("GET", "/-/readiness", Map.of(), new byte[0]),
                PROBE_TIMEOUT,
                response -> failedProbes.merge(
                        node,
                        1,
                        (count, one) -> response.isPresent() && response.get().status() == 200 ? 0 : count + 1)));
        network.sim.after(PROBE_INTERVAL, this::probe);
    }

    private boolean healthy(String node) {
        return failedProbes.getOrDefault(node, 0) < FAILED_PROBES_UNTIL_UNHEALTHY;
    }

    /**
     * Picks among the healthy nodes of the zone; among all its nodes if fewer than half are healthy, and among those of
     * other zones if none is.
     */
    String forClient(int client, String zone) {
        List<String> nodesOfZone = network.intakes.stream()
                .filter(node -> network.zone(node).equals(zone))
                .toList();
        List<String> healthy = nodesOfZone.stream().filter(this::healthy).toList();
        List<String> candidates =
                healthy.isEmpty() ? inAnyZone() : healthy.size() * 2 < nodesOfZone.size() ? nodesOfZone : healthy;
        return candidates.get(Math.floorMod(Integer.toString(client).hashCode() * 0x9E3779B9 >>> 7, candidates.size()));
    }

    String any() {
        List<String> candidates = inAnyZone();
        return candidates.get(network.sim.random().nextInt(candidates.size()));
    }

    private List<String> inAnyZone() {
        List<String> healthy = network.intakes.stream().filter(this::healthy).toList();
        return healthy.isEmpty() ? network.intakes : healthy;
    }
}
