package org.woadvale.testkit.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;
import reactor.core.publisher.Mono;

/** One part on three (or more) simulated hosts, with a machine that keeps a list of words. */
final class ReplicaGroupFixture {
    static final class WordListStateMachine implements StateMachine<String, String> {
        final List<String> words = new ArrayList<>();
        private final Codec codec;

        WordListStateMachine(Codec codec) {
            this.codec = codec;
        }

        @Override
        public Class<String> commandType() {
            return String.class;
        }

        @Override
        public String apply(long index, String command) {
            if (!words.contains(command)) {
                words.add(command);
            }
            return command;
        }

        @Override
        public byte[] snapshot() {
            return codec.write(new ArrayList<>(words));
        }

        @Override
        public void restore(byte[] view) {
            try {
                words.clear();
                codec.read(view, List.class).forEach(w -> words.add((String) w));
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        }
    }

    static final String PARTITION = "m0";
    private final int ringFileSize;
    final Simulator sim;
    final SimNet net;
    final Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of());
    final Map<String, Harness> hosts = new LinkedHashMap<>();
    final Map<String, Replica<String, String>> replicas = new LinkedHashMap<>();
    final Map<String, WordListStateMachine> stateMachines = new LinkedHashMap<>();
    List<String> desiredMembers = List.of("a:1", "b:1", "c:1");

    ReplicaGroupFixture(long seed) throws ServiceException {
        this(seed, 512 << 10);
    }

    ReplicaGroupFixture(long seed, int ringFileSize) throws ServiceException {
        this.ringFileSize = ringFileSize;
        sim = new Simulator(seed);
        net = new SimNet(sim);
        for (String n : desiredMembers) {
            add(n);
        }
    }

    void add(String n) throws ServiceException {
        hosts.put(n, new Harness(n, sim, net));
        start(n);
    }

    void start(String n) throws ServiceException {
        Harness harness = hosts.get(n);
        RpcRouter router = new RpcRouter();
        harness.boot(router);
        RingWriteAheadLog wal = RingWriteAheadLog.open(harness.disk(), harness.host(), 4, ringFileSize);
        wal.onFailure(why -> harness.kill());
        NodeEnvironment environment = new NodeEnvironment(
                harness.host(),
                harness.host(),
                harness.rpc(codec),
                codec,
                wal,
                sim.random()::nextLong,
                ReplicationTiming.defaults());
        WordListStateMachine m = new WordListStateMachine(codec);
        Replica<String, String> replica = new Replica<>(PARTITION, desiredMembers, m, environment);
        ReplicationMessages.route(router, part -> Mono.just(replica));
        stateMachines.put(n, m);
        replicas.put(n, replica);
        replica.start(wal.recovered().getOrDefault(PARTITION, List.of()));
    }

    void setDesiredMembers(List<String> members) {
        desiredMembers = members;
        replicas.values().forEach(replica -> replica.setDesiredMembers(members));
    }

    Optional<String> leader() {
        return replicas.entrySet().stream()
                .filter(entry -> hosts.get(entry.getKey()).alive()
                        && entry.getValue().role() == Role.LEADER
                        && entry.getValue().isActiveLeader())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    long leaderCount() {
        return replicas.entrySet().stream()
                .filter(entry ->
                        hosts.get(entry.getKey()).alive() && entry.getValue().isActiveLeader())
                .count();
    }

    String awaitLeader() {
        if (!sim.runUntil(() -> leader().isPresent(), Duration.ofSeconds(20))) {
            throw new AssertionError("nobody owns the part");
        }
        return leader().orElseThrow();
    }

    /** Proposes at the owner; the answer, or the fault's kind. */
    String propose(String word) {
        return proposeAt(awaitLeader(), word);
    }

    String proposeAt(String n, String word) {
        String[] out = {"open"};
        Mono<String> m = replicas.get(n).propose(word, String.class);
        m.subscribe(x -> out[0] = x, e -> out[0] = ServiceException.of(e).kind().wireName());
        sim.runUntil(() -> !out[0].equals("open"), Duration.ofSeconds(10));
        return out[0];
    }
}
