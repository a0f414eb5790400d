package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageStateMachine;
import org.woadvale.testkit.simulation.SimDisk;
import org.woadvale.testkit.simulation.Simulator;
import reactor.core.publisher.Mono;

/**
 * Replicas of many idle message partitions on three stores: the cost of leading and following a partition.
 * (docs/design.md, section 5)
 */
final class PartitionReplicas implements Mechanism {
    private static final List<String> STORES = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration STARTUP_TIME = Duration.ofSeconds(12);
    private static final int RING_FILES = 6;
    private static final int RING_BYTES = 8 << 20;
    private static final long BASE_HEAP_BYTES = 400L << 20;
    private static final long HEAP_BYTES_PER_PARTITION = 256 << 10;
    private static final int MAX_PARTITIONS = 1000;

    @Override
    public String sizeLabel() {
        return "parts on three stores";
    }

    @Override
    public List<Integer> defaultSizes() {
        return List.of(8, 16, 32, 64, 128);
    }

    @Override
    public int maxSize() {
        return MAX_PARTITIONS;
    }

    @Override
    public long estimatedHeapBytes(int size) {
        return BASE_HEAP_BYTES + size * HEAP_BYTES_PER_PARTITION;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        long before = Heap.usedAfterCollection();
        Simulator sim = new Simulator(1);
        HollowNet net = new HollowNet(sim);
        List<HollowHost> hosts = new ArrayList<>();
        List<Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>>> replicas =
                new ArrayList<>();
        for (String s : STORES) {
            HollowHost host = new HollowHost(s, sim);
            net.add(host);
            hosts.add(host);
            replicas.add(startStore(host, net, sim, size));
        }
        sim.run(STARTUP_TIME);
        long leaders = replicas.stream()
                .flatMap(m -> m.values().stream())
                .filter(Replica::isActiveLeader)
                .count();
        if (leaders != size) {
            throw new UnavailableException("Only " + leaders + " of " + size + " partitions have a leader.");
        }
        ResourceUsage usageBefore =
                ResourceUsage.sum(hosts.stream().map(HollowHost::usage).toList());
        sim.run(WINDOW);
        ResourceUsage mean = ResourceUsage.sum(
                        hosts.stream().map(HollowHost::usage).toList())
                .minus(usageBefore)
                .times(1.0 / WINDOW.toSeconds() / STORES.size());
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("frames of a store /s", mean.frames());
        out.put("bytes of a store /s", mean.bytes());
        out.put("processor ms of a store /s", mean.cpuSeconds() * 1000);
        out.put("heap of a store KB", (Heap.usedAfterCollection() - before) / 1024.0 / STORES.size());
        return out;
    }

    /** Rotates the list of replicas by partition, so that the leaders are spread over the stores. */
    private static Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>> startStore(
            HollowHost host, HollowNet net, Simulator sim, int partitions) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        RingWriteAheadLog wal = RingWriteAheadLog.open(new SimDisk(sim), host, RING_FILES, RING_BYTES);
        NodeEnvironment environment = new NodeEnvironment(
                host, host, net.rpc(host, codec), codec, wal, sim.random()::nextLong, ReplicationTiming.defaults());
        Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>> replicas = new HashMap<>();
        for (int i = 0; i < partitions; i++) {
            List<String> members = new ArrayList<>(STORES);
            Collections.rotate(members, i);
            replicas.put(
                    "m" + i, new Replica<>("m" + i, members, new MessageStateMachine("m" + i, codec), environment));
        }
        RpcRouter router = new RpcRouter();
        ReplicationMessages.route(router, partition -> Mono.just(replicas.get(partition)));
        host.serve(router);
        for (Replica replica : replicas.values()) {
            replica.start(List.of());
        }
        return replicas;
    }
}
