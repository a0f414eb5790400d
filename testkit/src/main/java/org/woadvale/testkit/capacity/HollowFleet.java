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
 * Three shipped control nodes and many hollow nodes in one process, on the fake clock. (docs/design.md, section 12.1)
 */
final class HollowFleet {
    static final String LIST = ServiceNames.processors(TestConfiguration.GROUP);
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final Duration REST = Duration.ofSeconds(4);
    private static final int RING_FILES = 6;
    private static final int RING_BYTES = 4 << 20;
    private static final int AT_ONCE = 100;

    final Simulator sim = new Simulator(1);
    private final HollowNet net = new HollowNet(sim);
    private final Shape shape;
    private final Codec controlCodec = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
    private final Codec dataPlaneCodec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
    private final List<String> seeds = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
    private final Map<String, HollowHost> controlNodes = new LinkedHashMap<>();
    private final Map<String, HollowHost> hosts = new LinkedHashMap<>();
    private final Map<String, HollowNode> nodes = new LinkedHashMap<>();
    private final Map<String, Integer> places = new LinkedHashMap<>();
    private final HollowOperator operator;
    private final long heapBefore;

    /** Serving when it returns: everyone knows everyone and each tenant's bucket is held. */
    HollowFleet(Shape shape) throws ServiceException {
        this.shape = shape;
        for (String l : seeds) {
            light(l);
        }
        HollowHost desk = new HollowHost("10.0.9.1:1", sim);
        net.add(desk);
        CoreClient core = new CoreClient(
                net.rpc(desk, controlCodec), sim.random()::nextLong, seeds, CoreMembers.unknown(), members -> {});
        operator = new HollowOperator(core, shape.tenants());
        sim.run(REST);
        change();
        await(() -> operator.configurationVersion() == 1, "the layout was not taken");
        list();
        heapBefore = Heap.used();
        for (int i = 0; i < shape.nodes(); i++) {
            String a = "10." + (1 + i / 62500) + "." + (i / 250 % 250) + "." + (1 + i % 250) + ":7070";
            places.put(a, i);
            sim.after(sim.between(0, 400_000), () -> begin(a));
        }
        sim.run(Duration.ofMillis(500));
        await(
                () -> nodes.values().stream()
                                .allMatch(node -> node.members() == shape.nodes()
                                        && node.configurationVersion() == operator.configurationVersion())
                        && held() == shape.tenants(),
                "the fleet did not get ready");
        sim.run(REST);
        if (shape.drawsPerS() > 0) {
            nodes.keySet().forEach(this::drawing);
            sim.run(REST);
        }
    }

    private void light(String address) throws ServiceException {
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

    private void begin(String address) {
        int i = places.get(address);
        HollowHost host = new HollowHost(address, sim);
        net.add(host);
        hosts.put(address, host);
        String role = i % Shape.STORE_EVERY == 0 ? ServiceNames.STORES : ServiceNames.INTAKES;
        HollowNode node = new HollowNode(
                host, net.rpc(host, dataPlaneCodec), dataPlaneCodec, sim, "hall" + i % Shape.ZONES, seeds, role);
        nodes.put(address, node);
        host.work(() -> node.start(List.of(LIST)));
    }

    private void drawing(String address) {
        HollowHost host = hosts.get(address);
        Duration period = Duration.ofNanos((long) (1e9 / shape.drawsPerS()));
        host.every(
                period,
                () -> nodes.get(address)
                        .draw(ServiceNames.tenantBucket(
                                TestConfiguration.tenant(sim.random().nextInt(shape.tenants())))));
    }

    private int held() {
        return nodes.values().stream().mapToInt(HollowNode::holds).sum();
    }

    /** One more configuration: the same but for the burst of all tenants. */
    void change() {
        operator.change();
    }

    int configurationBytes() {
        return nodes.values()
                .iterator()
                .next()
                .latest(ServiceNames.CONFIGURATION)
                .configuration()
                .length;
    }

    private void list() throws ServiceException {
        for (int i = 0; i < shape.destinations(); i++) {
            operator.putProcessor(i, false);
            if (i % AT_ONCE == AT_ONCE - 1) {
                int upTo = i + 1;
                await(() -> operator.processorsPut() == upTo, "a processor was not listed");
            }
        }
        await(() -> operator.processorsPut() == shape.destinations(), "a processor was not listed");
    }

    /**
     * Marks one destination, or takes the mark back; how long until each store that follows the list has the new one.
     */
    Duration mark(boolean leaving) throws ServiceException {
        Duration from = sim.now();
        operator.putProcessor(0, leaving);
        await(
                () -> nodes.values().stream()
                        .filter(HollowNode::follows)
                        .allMatch(node -> node.latest(LIST)
                                        .processors()
                                        .get("processor-0")
                                        .leaving()
                                == leaving),
                "a mark did not arrive");
        return sim.now().minus(from);
    }

    /** One change of the configuration; how long until every node uses it, in steps of 10 ms. */
    Duration changeEverywhere() throws ServiceException {
        Duration from = sim.now();
        long before = operator.configurationVersion();
        change();
        await(
                () -> operator.configurationVersion() > before
                        && nodes.values().stream()
                                .allMatch(node -> node.configurationVersion() == operator.configurationVersion()),
                "a change did not arrive everywhere");
        return sim.now().minus(from);
    }

    /** Bytes of heap that came with the nodes: the core and its rings on the simulated disks are not in it. */
    long heapOfNodes() {
        return Heap.used() - heapBefore;
    }

    /** The intake that restarts. */
    String restarting() {
        return places.keySet().stream().skip(1).findFirst().orElseThrow();
    }

    /** An intake is gone until its lease has lapsed, and comes back; how long until every node knows the new one. */
    Duration restart(Duration away) throws ServiceException {
        String a = restarting();
        nodes.remove(a).stop();
        hosts.remove(a).kill();
        sim.run(away);
        Duration from = sim.now();
        begin(a);
        String now = nodes.get(a).incarnation();
        await(
                () -> nodes.values().stream()
                        .allMatch(node ->
                                node.incarnationOf(ServiceNames.INTAKES, a).equals(now)),
                "a restarted node is not known everywhere");
        return sim.now().minus(from);
    }

    /** Ends when the condition holds, looked at each 10 ms. */
    private void await(BooleanSupplier condition, String why) throws ServiceException {
        Duration end = sim.now().plus(PATIENCE);
        while (!condition.getAsBoolean()) {
            if (sim.now().compareTo(end) > 0) {
                throw new UnavailableException(why + " within " + PATIENCE.toSeconds() + " s at " + shape + ".");
            }
            sim.run(Duration.ofMillis(10));
        }
    }

    long draws() {
        return nodes.values().stream()
                .mapToLong(node -> node.passes().atOnce() + node.passes().waited())
                .sum();
    }

    Map<String, Count> controlNodeCounts() {
        return counts(controlNodes.values());
    }

    Map<String, Count> nodeCounts() {
        return counts(hosts.values());
    }

    private static Map<String, Count> counts(Collection<HollowHost> from) {
        return from.stream().collect(Collectors.toMap(host -> host.address, HollowHost::count));
    }
}
