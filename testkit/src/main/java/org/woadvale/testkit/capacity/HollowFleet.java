package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.testkit.simulation.SimDisk;
import org.woadvale.testkit.simulation.Simulator;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Three complete control nodes and many hollow nodes in one process, on the simulated clock.
 * (docs/design.md, section 12.1)
 */
final class HollowFleet {
    static final String PROCESSOR_LIST = ServiceNames.processors(TestConfiguration.GROUP);
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
    private static final int RING_FILES = 6;
    private static final int RING_BYTES = 4 << 20;
    private static final int PROCESSOR_BATCH = 100;

    final Simulator sim = new Simulator(1);
    private final HollowNet net = new HollowNet(sim);
    private final FleetSize size;
    private final Codec controlCodec = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
    private final Codec dataPlaneCodec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
    private final List<String> seeds = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
    private final Map<String, HollowHost> controlNodes = new LinkedHashMap<>();
    private final Map<String, HollowHost> hosts = new LinkedHashMap<>();
    private final Map<String, HollowNode> nodes = new LinkedHashMap<>();
    private final Map<String, Integer> nodeNumbers = new LinkedHashMap<>();
    private final HollowOperator operator;
    private final long heapBefore;

    /** Returns once every node knows every other and each tenant's bucket has an owner. */
    HollowFleet(FleetSize size) throws ServiceException {
        this.size = size;
        for (String seed : seeds) {
            startControlNode(seed);
        }
        HollowHost operatorHost = new HollowHost("10.0.9.1:1", sim);
        net.add(operatorHost);
        CoreClient core = new CoreClient(
                net.rpc(operatorHost, controlCodec),
                sim.random()::nextLong,
                seeds,
                CoreMembers.unknown(),
                members -> {});
        operator = new HollowOperator(core, size.tenants());
        sim.run(SETTLE_TIME);
        changeConfiguration();
        await(() -> operator.configurationVersion() == 1, "the configuration was not accepted");
        registerProcessors();
        heapBefore = Heap.usedAfterCollection();
        for (int i = 0; i < size.nodes(); i++) {
            String address = "10." + (1 + i / 62500) + "." + (i / 250 % 250) + "." + (1 + i % 250) + ":7070";
            nodeNumbers.put(address, i);
            sim.after(sim.between(0, 400_000), () -> startNode(address));
        }
        sim.run(Duration.ofMillis(500));
        await(
                () -> nodes.values().stream()
                                .allMatch(node -> node.memberCount() == size.nodes()
                                        && node.configurationVersion() == operator.configurationVersion())
                        && ownedBuckets() == size.tenants(),
                "the fleet did not become ready");
        sim.run(SETTLE_TIME);
        if (size.tokensPerSecond() > 0) {
            nodes.keySet().forEach(this::startAcquiringTokens);
            sim.run(SETTLE_TIME);
        }
    }

    private void startControlNode(String address) throws ServiceException {
        HollowHost host = new HollowHost(address, sim);
        net.add(host);
        controlNodes.put(address, host);
        RpcRouter router = new RpcRouter();
        host.serve(router);
        RpcClient rpc = net.rpc(host, controlCodec);
        RingWriteAheadLog wal = RingWriteAheadLog.open(new SimDisk(sim), host, RING_FILES, RING_BYTES);
        wal.onFailure(why -> host.kill());
        NodeEnvironment environment = new NodeEnvironment(
                host, host, rpc, controlCodec, wal, sim.random()::nextLong, ReplicationTiming.partitions());
        ControlNode node = new ControlNode(
                environment,
                new CoreClient(rpc, sim.random()::nextLong, seeds, CoreMembers.unknown(), members -> {}),
                seeds,
                "",
                FaultTolerance.ONE_MACHINE);
        node.route(router);
        new OperatorHttpHandler(node, "").route(router);
        node.start();
    }

    private void startNode(String address) {
        int i = nodeNumbers.get(address);
        HollowHost host = new HollowHost(address, sim);
        net.add(host);
        hosts.put(address, host);
        String role = i % FleetSize.STORE_EVERY == 0 ? ServiceNames.STORES : ServiceNames.INTAKES;
        HollowNode node = new HollowNode(
                host, net.rpc(host, dataPlaneCodec), dataPlaneCodec, sim, "hall" + i % FleetSize.ZONES, seeds, role);
        nodes.put(address, node);
        host.runMeasured(() -> node.start(List.of(PROCESSOR_LIST)));
    }

    private void startAcquiringTokens(String address) {
        HollowHost host = hosts.get(address);
        Duration period = Duration.ofNanos((long) (1e9 / size.tokensPerSecond()));
        host.every(
                period,
                () -> nodes.get(address)
                        .acquireToken(ServiceNames.tenantBucket(
                                TestConfiguration.tenant(sim.random().nextInt(size.tenants())))));
    }

    private int ownedBuckets() {
        return nodes.values().stream().mapToInt(HollowNode::ownedBuckets).sum();
    }

    /** Stores a new configuration that differs from the previous one only in the tenants' burst size. */
    void changeConfiguration() {
        operator.changeConfiguration();
    }

    int configurationBytes() {
        return nodes.values()
                .iterator()
                .next()
                .latest(ServiceNames.CONFIGURATION)
                .configuration()
                .length;
    }

    private void registerProcessors() throws ServiceException {
        for (int i = 0; i < size.destinations(); i++) {
            operator.putProcessor(i, false);
            if (i % PROCESSOR_BATCH == PROCESSOR_BATCH - 1) {
                int upTo = i + 1;
                await(() -> operator.processorsPut() == upTo, "a processor was not registered");
            }
        }
        await(() -> operator.processorsPut() == size.destinations(), "a processor was not registered");
    }

    /**
     * Sets or clears the leaving mark of one processor. Returns the time until every store that follows the list has the
     * change.
     */
    Duration setLeaving(boolean leaving) throws ServiceException {
        Duration from = sim.now();
        operator.putProcessor(0, leaving);
        await(
                () -> nodes.values().stream()
                        .filter(HollowNode::followsProcessorLists)
                        .allMatch(node -> node.latest(PROCESSOR_LIST)
                                        .processors()
                                        .get("processor-0")
                                        .leaving()
                                == leaving),
                "a leaving mark did not reach every store");
        return sim.now().minus(from);
    }

    /** Changes the configuration. Returns the time until every node uses it, in steps of 10 ms. */
    Duration changeEverywhere() throws ServiceException {
        Duration from = sim.now();
        long before = operator.configurationVersion();
        changeConfiguration();
        await(
                () -> operator.configurationVersion() > before
                        && nodes.values().stream()
                                .allMatch(node -> node.configurationVersion() == operator.configurationVersion()),
                "a configuration change did not reach every node");
        return sim.now().minus(from);
    }

    /** The heap of the hollow nodes in bytes, without the core and its ring files on simulated disks. */
    long heapOfNodes() {
        return Heap.usedAfterCollection() - heapBefore;
    }

    /** The address of the intake that {@link #restart} restarts. */
    String restartedNode() {
        return nodeNumbers.keySet().stream().skip(1).findFirst().orElseThrow();
    }

    /**
     * Stops an intake and starts it again after the given downtime, which outlasts its lease. Returns the time from the
     * start until every node knows the new incarnation.
     */
    Duration restart(Duration downtime) throws ServiceException {
        String address = restartedNode();
        nodes.remove(address).stop();
        hosts.remove(address).kill();
        sim.run(downtime);
        Duration from = sim.now();
        startNode(address);
        String incarnation = nodes.get(address).incarnation();
        await(
                () -> nodes.values().stream()
                        .allMatch(node -> node.incarnationOf(ServiceNames.INTAKES, address)
                                .equals(incarnation)),
                "a restarted node did not become known to every node");
        return sim.now().minus(from);
    }

    /** Runs the simulation until the condition holds, checking it every 10 ms. */
    private void await(BooleanSupplier condition, String why) throws ServiceException {
        Duration end = sim.now().plus(AWAIT_TIMEOUT);
        while (!condition.getAsBoolean()) {
            if (sim.now().compareTo(end) > 0) {
                throw new UnavailableException(why + " within " + AWAIT_TIMEOUT.toSeconds() + " s at " + size + ".");
            }
            sim.run(Duration.ofMillis(10));
        }
    }

    long acquiredTokens() {
        return nodes.values().stream()
                .mapToLong(
                        node -> node.tokenCounts().atOnce() + node.tokenCounts().waited())
                .sum();
    }

    Map<String, ResourceUsage> controlNodeUsage() {
        return usageByAddress(controlNodes.values());
    }

    Map<String, ResourceUsage> nodeUsage() {
        return usageByAddress(hosts.values());
    }

    private static Map<String, ResourceUsage> usageByAddress(Collection<HollowHost> from) {
        return from.stream().collect(Collectors.toMap(host -> host.address, HollowHost::usage));
    }
}
