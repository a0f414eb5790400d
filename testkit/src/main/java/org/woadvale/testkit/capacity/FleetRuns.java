package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.woadvale.common.error.ServiceException;

/** Measurements of hollow fleets that vary one dimension each. */
final class FleetRuns {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration RESTART_DOWNTIME = Duration.ofSeconds(6);
    private static final long BASE_HEAP_BYTES = 300L << 20;
    private static final long HEAP_BYTES_PER_NODE = 600 << 10;
    private static final long HEAP_BYTES_PER_MEMBER = 900;
    private static final long HEAP_BYTES_PER_PROCESSOR = 1500;
    private static final int LEAVING_CHANGES = 10;
    private static final int DESTINATION_NODES = 12;
    private static final int MAX_NODES = 60_000;
    /** The limit of a configuration. (docs/design.md, section 6.1) */
    private static final int MAX_TENANTS = 1000;

    private static final int MAX_PROCESSORS = 20_000;
    private static final int MAX_CHANGES = 20;
    private static final int MAX_TOKENS_PER_SECOND = 10_000;
    private static final long HEAP_BYTES_PER_BUCKET = 8 << 10;

    /** Measures a new fleet of the given size. */
    private interface Measurement {
        Map<String, Double> measure(int size) throws ServiceException;
    }

    private record FleetMechanism(
            String sizeLabel,
            List<Integer> defaultSizes,
            int maxSize,
            IntFunction<Long> heapEstimate,
            Measurement measurement)
            implements Mechanism {
        @Override
        public long estimatedHeapBytes(int size) {
            return heapEstimate.apply(size);
        }

        @Override
        public Map<String, Double> measure(int size) throws ServiceException {
            return measurement.measure(size);
        }
    }

    private FleetRuns() {}

    private static long fleetHeapBytes(long nodes, long tenants, long destinations) {
        return BASE_HEAP_BYTES
                + nodes * HEAP_BYTES_PER_NODE
                + nodes * nodes * HEAP_BYTES_PER_MEMBER
                + nodes * tenants * HEAP_BYTES_PER_BUCKET
                + nodes * destinations * HEAP_BYTES_PER_PROCESSOR / 2;
    }

    /** Fleets of many nodes that all know each other; one node is restarted, and the configuration is changed once. */
    static Mechanism nodes() {
        return nodes(List.of(60, 120, 240, 480), 8);
    }

    /** The same with more tenants, to see whether the costs of nodes and tenants multiply. */
    static Mechanism nodesOfManyTenants() {
        return nodes(List.of(30, 60, 120, 240), 32);
    }

    private static Mechanism nodes(List<Integer> sizes, int tenants) {
        return new FleetMechanism(
                "nodes, " + tenants + " tenants", sizes, MAX_NODES, n -> fleetHeapBytes(n, tenants, 16), n -> {
                    HollowFleet fleet =
                            new HollowFleet(FleetSize.defaults().nodes(n).tenants(tenants));
                    Map<String, Double> out = measureSteadyState(fleet, n);
                    out.put("heap of a node KB", fleet.heapOfNodes() / 1024.0 / n);
                    double idleBytesPerSecond = out.get("bytes of a node /s") * n;
                    Duration from = fleet.sim.now();
                    Map<String, ResourceUsage> before = fleet.nodeUsage();
                    Duration untilKnown = fleet.restart(RESTART_DOWNTIME);
                    fleet.sim.run(Duration.ofSeconds(2));
                    double s = fleet.sim.now().minus(from).toMillis() / 1000.0;
                    Map<String, ResourceUsage> now = fleet.nodeUsage();
                    before.remove(fleet.restartedNode());
                    now.remove(fleet.restartedNode());
                    double restartBytes = ResourceUsage.sum(now.values())
                                    .minus(ResourceUsage.sum(before.values()))
                                    .bytes()
                            - idleBytesPerSecond * s * (n - 1) / n;
                    out.put("bytes of a node for one restart", restartBytes / (n - 1));
                    out.put("a restarted node known everywhere s", untilKnown.toMillis() / 1000.0);
                    out.put("a change everywhere s", fleet.changeEverywhere().toMillis() / 1000.0);
                    return out;
                });
    }

    static Mechanism tenants() {
        return new FleetMechanism(
                "tenants", List.of(8, 16, 32, 64, 128), MAX_TENANTS, n -> fleetHeapBytes(36, n, 16), n -> {
                    HollowFleet fleet = new HollowFleet(FleetSize.defaults().tenants(n));
                    Map<String, Double> out = measureSteadyState(fleet, 36);
                    out.put("layout KB", fleet.configurationBytes() / 1024.0);
                    return out;
                });
    }

    /** Processors in one list that the stores follow; the leaving mark of one processor is set and cleared in turn. */
    static Mechanism destinations() {
        return new FleetMechanism(
                "processors in a list",
                List.of(1000, 2000, 4000, 8000),
                MAX_PROCESSORS,
                n -> fleetHeapBytes(DESTINATION_NODES, 8, n),
                FleetRuns::destinationFigures);
    }

    private static Map<String, Double> destinationFigures(int destinations) throws ServiceException {
        HollowFleet fleet =
                new HollowFleet(FleetSize.defaults().nodes(DESTINATION_NODES).destinations(destinations));
        fleet.sim.run(WINDOW);
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("heap of a node KB", fleet.heapOfNodes() / 1024.0 / DESTINATION_NODES);
        ResourceUsage nodesBefore = usage(fleet.nodeUsage());
        ResourceUsage coreBefore = usage(fleet.controlNodeUsage());
        fleet.sim.run(WINDOW);
        ResourceUsage idleNodes = usage(fleet.nodeUsage()).minus(nodesBefore);
        ResourceUsage idleCore = usage(fleet.controlNodeUsage()).minus(coreBefore);
        nodesBefore = usage(fleet.nodeUsage());
        coreBefore = usage(fleet.controlNodeUsage());
        Duration elapsed = Duration.ZERO;
        for (int i = 0; i < LEAVING_CHANGES; i++) {
            elapsed = elapsed.plus(fleet.setLeaving(i % 2 == 0));
        }
        fleet.sim.run(WINDOW.minus(elapsed));
        int stores = DESTINATION_NODES / FleetSize.STORE_EVERY * LEAVING_CHANGES;
        ResourceUsage ofNodes = usage(fleet.nodeUsage()).minus(nodesBefore).minus(idleNodes);
        ResourceUsage ofCore = usage(fleet.controlNodeUsage()).minus(coreBefore).minus(idleCore);
        out.put("bytes of a store for one mark", ofNodes.bytes() / stores);
        out.put("processor ms of the core for one mark", ofCore.cpuSeconds() * 1000 / LEAVING_CHANGES);
        out.put("processor ms of a store for one mark", ofNodes.cpuSeconds() * 1000 / stores);
        out.put("a mark at each store s", elapsed.toMillis() / 1000.0 / LEAVING_CHANGES);
        return out;
    }

    private static ResourceUsage usage(Map<String, ResourceUsage> usageByNode) {
        return ResourceUsage.sum(usageByNode.values());
    }

    /** Changes of a configuration with 64 tenants, spread evenly over the window. */
    static Mechanism changes() {
        return new FleetMechanism(
                "changes in 10 s", List.of(1, 2, 4, 8, 16), MAX_CHANGES, n -> fleetHeapBytes(36, 64, 16), n -> {
                    HollowFleet fleet = new HollowFleet(FleetSize.defaults().tenants(64));
                    Map<String, ResourceUsage> nodes = fleet.nodeUsage();
                    Map<String, ResourceUsage> controlNodes = fleet.controlNodeUsage();
                    double longest = 0;
                    for (int i = 0; i < n; i++) {
                        Duration elapsed = fleet.changeEverywhere();
                        longest = Math.max(longest, elapsed.toMillis() / 1000.0);
                        Duration remaining = WINDOW.dividedBy(n).minus(elapsed);
                        fleet.sim.run(remaining.isNegative() ? Duration.ZERO : remaining);
                    }
                    Map<String, Double> out = new LinkedHashMap<>();
                    putUsage(out, fleet, nodes, controlNodes, 36);
                    out.put("a change everywhere, longest s", longest);
                    out.put("layout KB", fleet.configurationBytes() / 1024.0);
                    return out;
                });
    }

    /** Admission tokens that each node acquires per second from the buckets of eight tenants. */
    static Mechanism passes() {
        return new FleetMechanism(
                "passes drawn by a node /s",
                List.of(25, 50, 100, 200),
                MAX_TOKENS_PER_SECOND,
                n -> fleetHeapBytes(36, 8, 16),
                n -> {
                    HollowFleet fleet = new HollowFleet(FleetSize.defaults().withTokensPerSecond(n));
                    long acquiredBefore = fleet.acquiredTokens();
                    Map<String, Double> out = measureSteadyState(fleet, 36);
                    out.put(
                            "passes drawn of a node /s",
                            (fleet.acquiredTokens() - acquiredBefore) / (double) WINDOW.toSeconds() / 36);
                    return out;
                });
    }

    private static Map<String, Double> measureSteadyState(HollowFleet fleet, int nodes) {
        Map<String, ResourceUsage> nodesBefore = fleet.nodeUsage();
        Map<String, ResourceUsage> controlNodesBefore = fleet.controlNodeUsage();
        fleet.sim.run(WINDOW);
        Map<String, Double> out = new LinkedHashMap<>();
        putUsage(out, fleet, nodesBefore, controlNodesBefore, nodes);
        return out;
    }

    /**
     * Adds the usage since the given counts: the mean over the nodes, the busiest node, the sum over the control nodes and
     * the busiest control node. Bytes count both directions.
     */
    private static void putUsage(
            Map<String, Double> out,
            HollowFleet fleet,
            Map<String, ResourceUsage> nodes,
            Map<String, ResourceUsage> controlNodes,
            int n) {
        double s = WINDOW.toSeconds();
        Map<String, ResourceUsage> now = fleet.nodeUsage();
        Map<String, ResourceUsage> core = fleet.controlNodeUsage();
        ResourceUsage mean = ResourceUsage.sum(now.values())
                .minus(ResourceUsage.sum(nodes.values()))
                .times(1 / s / n);
        ResourceUsage all = ResourceUsage.sum(core.values())
                .minus(ResourceUsage.sum(controlNodes.values()))
                .times(1 / s);
        out.put("frames of a node /s", mean.frames());
        out.put("bytes of a node /s", mean.bytes());
        out.put("processor ms of a node /s", mean.cpuSeconds() * 1000);
        out.put(
                "bytes of the busiest node /s",
                now.keySet().stream()
                        .mapToDouble(a -> now.get(a).minus(nodes.get(a)).bytes() / s)
                        .max()
                        .orElse(0));
        out.put(
                "processor ms of the busiest node /s",
                now.keySet().stream()
                        .mapToDouble(a -> now.get(a).minus(nodes.get(a)).cpuSeconds() * 1000 / s)
                        .max()
                        .orElse(0));
        out.put("asks of the core /s", all.requests());
        out.put("bytes of the core /s", all.bytes());
        out.put("processor ms of the core /s", all.cpuSeconds() * 1000);
        out.put(
                "asks of the busiest control node /s",
                core.keySet().stream()
                        .mapToDouble(a -> core.get(a).minus(controlNodes.get(a)).requests() / s)
                        .max()
                        .orElse(0));
    }
}
