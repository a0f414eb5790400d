package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.replication.ReplicationRequest;
import org.woadvale.common.rpc.RpcClient;
import reactor.core.publisher.Mono;

/** A machine with the shipped replica on it; it can be frozen and started again. */
final class ModelNode {
    static final String PARTITION = "m0";
    private final ModelCluster cluster;
    private final String name;
    private final ModelDisk disk = new ModelDisk();
    private long life;
    private long diskGeneration;
    private boolean frozen;
    private Duration frozenSince = Duration.ZERO;
    private Duration frozenInAll = Duration.ZERO;
    private ModelTimers timers;
    private ModelWriteAheadLog log;
    private RegisterMachine machine;
    private Replica<String, String> replica;
    private List<String> wanted = List.of();

    ModelNode(ModelCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        boot();
    }

    /** Starts the process on what the disk holds. */
    private void boot() {
        life++;
        frozen = false;
        Mutant mutant = cluster.mutant();
        timers = new ModelTimers(() -> mutant.clock(this, cluster.localTime(name)));
        log = new ModelWriteAheadLog(disk);
        machine = new RegisterMachine();
        NodeEnvironment environment = new NodeEnvironment(
                timers,
                timers,
                mutant.rpc(this, new Rpc()),
                cluster.codec(),
                mutant.log(this, log),
                random(),
                mutant.timing(this, cluster.timing()));
        wanted = cluster.wanted();
        replica = new Replica<>(PARTITION, wanted, mutant.machine(this, machine), environment);
        try {
            replica.start(environment.wal().recovered().getOrDefault(PARTITION, List.of()));
        } catch (ServiceException failure) {
            throw new IllegalStateException("the replica of " + name + " cannot start", failure);
        }
    }

    /** Constant for a node and its disk: identities differ, and the same choices give the same run. */
    private LongSupplier random() {
        long value = Math.floorMod(Objects.hash(name, diskGeneration) * 0x9E3779B97F4A7C15L, Long.MAX_VALUE);
        return () -> value;
    }

    void crash() {
        disk.keepWritten();
        boot();
    }

    void losePower() {
        disk.loseUnsynced();
        boot();
    }

    void wipe() {
        disk.wipe();
        diskGeneration++;
        boot();
        cluster.mutant().wiped(this);
    }

    void freeze() {
        frozen = true;
        frozenSince = cluster.now();
    }

    void thaw() {
        frozen = false;
        frozenInAll = frozenInAll.plus(cluster.now().minus(frozenSince));
    }

    boolean frozen() {
        return frozen;
    }

    Duration frozenSince() {
        return frozenSince;
    }

    /** How long the node has done nothing so far, all freezes together. */
    Duration frozenInAll() {
        return frozen ? frozenInAll.plus(cluster.now().minus(frozenSince)) : frozenInAll;
    }

    void learnWanted(List<String> members) {
        wanted = members;
        replica.setDesiredMembers(members);
    }

    /** The members that this node was told to be wanted. */
    List<String> wanted() {
        return wanted;
    }

    void compact() {
        log.press();
    }

    Mono<?> handle(String from, ReplicationRequest request) {
        return replica.handle(from, request);
    }

    ReplicaProbe.Snapshot state() {
        return ReplicaProbe.state(replica);
    }

    String name() {
        return name;
    }

    long life() {
        return life;
    }

    long diskGeneration() {
        return diskGeneration;
    }

    ModelDisk disk() {
        return disk;
    }

    ModelTimers timers() {
        return timers;
    }

    RegisterMachine machine() {
        return machine;
    }

    Replica<String, String> replica() {
        return replica;
    }

    ModelCluster cluster() {
        return cluster;
    }

    private final class Rpc implements RpcClient {
        @Override
        public String self() {
            return name;
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return cluster.network().ask(ModelNode.this, to, body, answer, limit);
        }
    }
}
