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

/** A simulated machine that runs the production replica; it can be frozen and restarted. */
final class ModelNode {
    static final String PARTITION = "m0";
    private final ModelCluster cluster;
    private final String name;
    private final ModelDisk disk = new ModelDisk();
    private long incarnation;
    private long diskGeneration;
    private boolean frozen;
    private Duration frozenSince = Duration.ZERO;
    private Duration totalFrozenTime = Duration.ZERO;
    private ModelTimers timers;
    private ModelWriteAheadLog log;
    private RegisterMachine machine;
    private Replica<String, String> replica;
    private List<String> desiredMembers = List.of();

    ModelNode(ModelCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        boot();
    }

    /** Starts the process with the contents of the disk. */
    private void boot() {
        incarnation++;
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
        desiredMembers = cluster.desiredMembers();
        replica = new Replica<>(PARTITION, desiredMembers, mutant.machine(this, machine), environment);
        try {
            replica.start(environment.wal().recovered().getOrDefault(PARTITION, List.of()));
        } catch (ServiceException failure) {
            throw new IllegalStateException("the replica of " + name + " cannot start", failure);
        }
    }

    /** A constant per node and disk, so that identities differ and runs are reproducible. */
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
        cluster.mutant().afterWipe(this);
    }

    void freeze() {
        frozen = true;
        frozenSince = cluster.now();
    }

    void thaw() {
        frozen = false;
        totalFrozenTime = totalFrozenTime.plus(cluster.now().minus(frozenSince));
    }

    boolean frozen() {
        return frozen;
    }

    Duration frozenSince() {
        return frozenSince;
    }

    /** The total time for which the node has been frozen so far. */
    Duration totalFrozenTime() {
        return frozen ? totalFrozenTime.plus(cluster.now().minus(frozenSince)) : totalFrozenTime;
    }

    void updateDesiredMembers(List<String> members) {
        desiredMembers = members;
        replica.setDesiredMembers(members);
    }

    /** The desired members that this node was last notified of. */
    List<String> desiredMembers() {
        return desiredMembers;
    }

    void compact() {
        log.requestSnapshot();
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

    long incarnation() {
        return incarnation;
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
            return cluster.network().call(ModelNode.this, to, body, answer, limit);
        }
    }
}
