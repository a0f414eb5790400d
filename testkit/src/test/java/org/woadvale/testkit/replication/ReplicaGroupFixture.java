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

/** A partition on three or more simulated hosts, with a state machine that keeps a list of words. */
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
        public void restore(byte[] snapshot) {
            try {
                words.clear();
                codec.read(snapshot, List.class).forEach(word -> words.add((String) word));
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
        for (String node : desiredMembers) {
            add(node);
        }
    }

    void add(String node) throws ServiceException {
        hosts.put(node, new Harness(node, sim, net));
        start(node);
    }

    void start(String node) throws ServiceException {
        Harness harness = hosts.get(node);
        RpcRouter router = new RpcRouter();
        harness.boot(router);
        RingWriteAheadLog wal = RingWriteAheadLog.open(harness.disk(), harness.host(), 4, ringFileSize);
        wal.onFailure(reason -> harness.kill());
        NodeEnvironment environment = new NodeEnvironment(
                harness.host(),
                harness.host(),
                harness.rpc(codec),
                codec,
                wal,
                sim.random()::nextLong,
                ReplicationTiming.defaults());
        WordListStateMachine stateMachine = new WordListStateMachine(codec);
        Replica<String, String> replica = new Replica<>(PARTITION, desiredMembers, stateMachine, environment);
        ReplicationMessages.route(router, partition -> Mono.just(replica));
        stateMachines.put(node, stateMachine);
        replicas.put(node, replica);
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
            throw new AssertionError("no leader is elected");
        }
        return leader().orElseThrow();
    }

    /** Proposes a word on the leader; returns the result, or the kind of the failure. */
    String propose(String word) {
        return proposeAt(awaitLeader(), word);
    }

    String proposeAt(String node, String word) {
        String[] outcome = {"open"};
        Mono<String> proposal = replicas.get(node).propose(word, String.class);
        proposal.subscribe(
                result -> outcome[0] = result,
                e -> outcome[0] = ServiceException.of(e).kind().wireName());
        sim.runUntil(() -> !outcome[0].equals("open"), Duration.ofSeconds(10));
        return outcome[0];
    }
}
