package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.woadvale.common.error.ServiceException;

/** Runs of hollow fleets that differ in one number. */
final class FleetRuns {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration AWAY = Duration.ofSeconds(6);
    private static final long FIXED = 300L << 20;
    private static final long A_NODE = 600 << 10;
    private static final long A_MEMBER = 900;
    private static final long A_PROCESSOR = 1500;
    private static final int MARKS = 10;
    private static final int MOST_NODES = 60_000;
    /** Of a configuration. (docs/design.md, section 6.1) */
    private static final int MOST_TENANTS = 1000;

    private static final int MOST_LISTED = 20_000;
    private static final int MOST_CHANGES = 20;
    private static final int MOST_DRAWN = 10_000;
    private static final long A_BUCKET = 8 << 10;

    /** One fleet after another. */
    private interface Run {
        Map<String, Double> of(int size) throws ServiceException;
    }

    private record Kind(String counts, List<Integer> sizes, int most, IntFunction<Long> heap, Run run)
            implements Mechanism {
        @Override
        public long needs(int size) {
            return heap.apply(size);
        }

        @Override
        public Map<String, Double> measure(int size) throws ServiceException {
            return run.of(size);
        }
    }

    private FleetRuns() {}

    private static long fleet(long nodes, long tenants, long destinations) {
        return FIXED
                + nodes * A_NODE
                + nodes * nodes * A_MEMBER
                + nodes * tenants * A_BUCKET
                + nodes * destinations * A_PROCESSOR / 2;
    }

    /** Every node knows every other; one is restarted, and one configuration is changed. */
    static Mechanism nodes() {
        return nodes(List.of(60, 120, 240, 480), 8);
    }

    /** The same under more tenants: whether nodes and tenants multiply. */
    static Mechanism nodesOfManyTenants() {
        return nodes(List.of(30, 60, 120, 240), 32);
    }

    private static Mechanism nodes(List<Integer> sizes, int tenants) {
        return new Kind("nodes, " + tenants + " tenants", sizes, MOST_NODES, n -> fleet(n, tenants, 16), n -> {
            HollowFleet fleet = new HollowFleet(Shape.usual().nodes(n).tenants(tenants));
            Map<String, Double> out = steady(fleet, n);
            out.put("heap of a node KB", fleet.heapOfNodes() / 1024.0 / n);
            double quiet = out.get("bytes of a node /s") * n;
            Duration from = fleet.sim.now();
            Map<String, Count> was = fleet.nodeCounts();
            Duration known = fleet.restart(AWAY);
            fleet.sim.run(Duration.ofSeconds(2));
            double s = fleet.sim.now().minus(from).toMillis() / 1000.0;
            Map<String, Count> now = fleet.nodeCounts();
            was.remove(fleet.restarting());
            now.remove(fleet.restarting());
            double extra =
                    Count.sum(now.values()).minus(Count.sum(was.values())).bytes() - quiet * s * (n - 1) / n;
            out.put("bytes of a node for one restart", extra / (n - 1));
            out.put("a restarted node known everywhere s", known.toMillis() / 1000.0);
            out.put("a change everywhere s", fleet.changeEverywhere().toMillis() / 1000.0);
            return out;
        });
    }

    static Mechanism tenants() {
        return new Kind("tenants", List.of(8, 16, 32, 64, 128), MOST_TENANTS, n -> fleet(36, n, 16), n -> {
            HollowFleet fleet = new HollowFleet(Shape.usual().tenants(n));
            Map<String, Double> out = steady(fleet, 36);
            out.put("layout KB", fleet.configurationBytes() / 1024.0);
            return out;
        });
    }

    /** Processors in one list, which the stores follow; one of them is marked and unmarked, in turns. */
    static Mechanism destinations() {
        return new Kind(
                "processors in a list", List.of(1000, 2000, 4000, 8000), MOST_LISTED, n -> fleet(12, 8, n), n -> {
                    HollowFleet fleet = new HollowFleet(Shape.usual().nodes(12).destinations(n));
                    fleet.sim.run(WINDOW);
                    Map<String, Double> out = new LinkedHashMap<>();
                    out.put("heap of a node KB", fleet.heapOfNodes() / 1024.0 / 12);
                    Map<String, Count> nodes = fleet.nodeCounts();
                    Map<String, Count> controlNodes = fleet.controlNodeCounts();
                    fleet.sim.run(WINDOW);
                    Count quietNodes = Count.sum(fleet.nodeCounts().values()).minus(Count.sum(nodes.values()));
                    Count quietControlNodes =
                            Count.sum(fleet.controlNodeCounts().values()).minus(Count.sum(controlNodes.values()));
                    nodes = fleet.nodeCounts();
                    controlNodes = fleet.controlNodeCounts();
                    Duration took = Duration.ZERO;
                    for (int i = 0; i < MARKS; i++) {
                        took = took.plus(fleet.mark(i % 2 == 0));
                    }
                    fleet.sim.run(WINDOW.minus(took));
                    int stores = 12 / Shape.STORE_EVERY * MARKS;
                    out.put(
                            "bytes of a store for one mark",
                            Count.sum(fleet.nodeCounts().values())
                                            .minus(Count.sum(nodes.values()))
                                            .minus(quietNodes)
                                            .bytes()
                                    / stores);
                    out.put(
                            "processor ms of the core for one mark",
                            Count.sum(fleet.controlNodeCounts().values())
                                            .minus(Count.sum(controlNodes.values()))
                                            .minus(quietControlNodes)
                                            .cpuS()
                                    * 1000
                                    / MARKS);
                    out.put(
                            "processor ms of a store for one mark",
                            Count.sum(fleet.nodeCounts().values())
                                            .minus(Count.sum(nodes.values()))
                                            .minus(quietNodes)
                                            .cpuS()
                                    * 1000
                                    / stores);
                    out.put("a mark at each store s", took.toMillis() / 1000.0 / MARKS);
                    return out;
                });
    }

    /** ConfigurationView changed within a window, evenly; a configuration of 64 tenants. */
    static Mechanism changes() {
        return new Kind("changes in 10 s", List.of(1, 2, 4, 8, 16), MOST_CHANGES, n -> fleet(36, 64, 16), n -> {
            HollowFleet fleet = new HollowFleet(Shape.usual().tenants(64));
            Map<String, Count> nodes = fleet.nodeCounts();
            Map<String, Count> controlNodes = fleet.controlNodeCounts();
            double worst = 0;
            for (int i = 0; i < n; i++) {
                Duration took = fleet.changeEverywhere();
                worst = Math.max(worst, took.toMillis() / 1000.0);
                Duration left = WINDOW.dividedBy(n).minus(took);
                fleet.sim.run(left.isNegative() ? Duration.ZERO : left);
            }
            Map<String, Double> out = new LinkedHashMap<>();
            put(out, fleet, nodes, controlNodes, 36);
            out.put("a change everywhere, longest s", worst);
            out.put("layout KB", fleet.configurationBytes() / 1024.0);
            return out;
        });
    }

    /** AdmissionTokens drawn by each node in a second, from the buckets of eight tenants. */
    static Mechanism passes() {
        return new Kind(
                "passes drawn by a node /s", List.of(25, 50, 100, 200), MOST_DRAWN, n -> fleet(36, 8, 16), n -> {
                    HollowFleet fleet = new HollowFleet(Shape.usual().draws(n));
                    long drawn = fleet.draws();
                    Map<String, Double> out = steady(fleet, 36);
                    out.put("passes drawn of a node /s", (fleet.draws() - drawn) / (double) WINDOW.toSeconds() / 36);
                    return out;
                });
    }

    private static Map<String, Double> steady(HollowFleet fleet, int nodes) {
        Map<String, Count> n = fleet.nodeCounts();
        Map<String, Count> l = fleet.controlNodeCounts();
        fleet.sim.run(WINDOW);
        Map<String, Double> out = new LinkedHashMap<>();
        put(out, fleet, n, l, nodes);
        return out;
    }

    /** Means over the nodes, the busiest node, all control nodes together and the busiest of them; bytes both ways. */
    private static void put(
            Map<String, Double> out,
            HollowFleet fleet,
            Map<String, Count> nodes,
            Map<String, Count> controlNodes,
            int n) {
        double s = WINDOW.toSeconds();
        Map<String, Count> now = fleet.nodeCounts();
        Map<String, Count> core = fleet.controlNodeCounts();
        Count mean = Count.sum(now.values()).minus(Count.sum(nodes.values())).times(1 / s / n);
        Count all =
                Count.sum(core.values()).minus(Count.sum(controlNodes.values())).times(1 / s);
        out.put("frames of a node /s", mean.frames());
        out.put("bytes of a node /s", mean.bytes());
        out.put("processor ms of a node /s", mean.cpuS() * 1000);
        out.put(
                "bytes of the busiest node /s",
                now.keySet().stream()
                        .mapToDouble(a -> now.get(a).minus(nodes.get(a)).bytes() / s)
                        .max()
                        .orElse(0));
        out.put(
                "processor ms of the busiest node /s",
                now.keySet().stream()
                        .mapToDouble(a -> now.get(a).minus(nodes.get(a)).cpuS() * 1000 / s)
                        .max()
                        .orElse(0));
        out.put("asks of the core /s", all.asks());
        out.put("bytes of the core /s", all.bytes());
        out.put("processor ms of the core /s", all.cpuS() * 1000);
        out.put(
                "asks of the busiest control node /s",
                core.keySet().stream()
                        .mapToDouble(a -> core.get(a).minus(controlNodes.get(a)).asks() / s)
                        .max()
                        .orElse(0));
    }
}
