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
 * Replicas of many message parts on three stores, all at rest: what leading and following a part costs.
 * (docs/design.md, section 5)
 */
final class Parts implements Mechanism {
    private static final List<String> STORES = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration START = Duration.ofSeconds(12);
    private static final int RING_FILES = 6;
    private static final int RING_BYTES = 8 << 20;
    private static final long FIXED = 400L << 20;
    private static final long A_PART = 256 << 10;
    private static final int MOST = 1000;

    @Override
    public String counts() {
        return "parts on three stores";
    }

    @Override
    public List<Integer> sizes() {
        return List.of(8, 16, 32, 64, 128);
    }

    @Override
    public int most() {
        return MOST;
    }

    @Override
    public long needs(int size) {
        return FIXED + size * A_PART;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        long before = Heap.used();
        Simulator sim = new Simulator(1);
        HollowNet net = new HollowNet(sim);
        List<HollowHost> hosts = new ArrayList<>();
        List<Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>>> replicas =
                new ArrayList<>();
        for (String s : STORES) {
            HollowHost host = new HollowHost(s, sim);
            net.add(host);
            hosts.add(host);
            replicas.add(store(host, net, sim, size));
        }
        sim.run(START);
        long owned = replicas.stream()
                .flatMap(m -> m.values().stream())
                .filter(Replica::isActiveLeader)
                .count();
        if (owned != size) {
            throw new UnavailableException("Only " + owned + " of " + size + " parts have an owner.");
        }
        Count was = Count.sum(hosts.stream().map(HollowHost::count).toList());
        sim.run(WINDOW);
        Count mean = Count.sum(hosts.stream().map(HollowHost::count).toList())
                .minus(was)
                .times(1.0 / WINDOW.toSeconds() / STORES.size());
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("frames of a store /s", mean.frames());
        out.put("bytes of a store /s", mean.bytes());
        out.put("processor ms of a store /s", mean.cpuS() * 1000);
        out.put("heap of a store KB", (Heap.used() - before) / 1024.0 / STORES.size());
        return out;
    }

    /** Each part has another first store, so owners are spread. */
    private static Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>> store(
            HollowHost host, HollowNet net, Simulator sim, int parts) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        RingWriteAheadLog wal = RingWriteAheadLog.open(new SimDisk(sim), host, RING_FILES, RING_BYTES);
        NodeEnvironment environment = new NodeEnvironment(
                host, host, net.rpc(host, codec), codec, wal, sim.random()::nextLong, ReplicationTiming.defaults());
        Map<String, Replica<MessageCommands.MessageCommand, MessageCommands.MessageResult>> mine = new HashMap<>();
        for (int i = 0; i < parts; i++) {
            List<String> copies = new ArrayList<>(STORES);
            Collections.rotate(copies, i);
            mine.put("m" + i, new Replica<>("m" + i, copies, new MessageStateMachine("m" + i, codec), environment));
        }
        RpcRouter router = new RpcRouter();
        ReplicationMessages.route(router, partition -> Mono.just(mine.get(partition)));
        host.serve(router);
        for (Replica replica : mine.values()) {
            replica.start(List.of());
        }
        return mine;
    }
}
