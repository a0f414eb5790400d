package org.woadvale.testkit.compatibility;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.LogEntry;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WalRecord;
import org.woadvale.controlplane.state.ControlStateMachine;
import org.woadvale.dataplane.queue.MessageStateMachine;
import org.woadvale.testkit.simulation.Harness;
import org.woadvale.testkit.simulation.SimDisk;
import org.woadvale.testkit.simulation.SimNet;
import org.woadvale.testkit.simulation.Simulator;

/** Saves a data folder, and describes what replicas recover from it. */
final class StoredFolder {
    private static final int RING_FILES = 8;
    private static final int RING_BYTES = 4 << 20;
    private static final int HISTORY_BYTES = 512 << 10;

    /** The number of leading hex digits of a checksum that are compared. */
    private static final int CHECKSUM_DIGITS = 16;

    private StoredFolder() {}

    static void save(SimDisk disk, OutputStream out) throws IOException {
        try (DataOutputStream data = new DataOutputStream(new GZIPOutputStream(out))) {
            disk.save(data);
        }
    }

    /** Returns a line per partition: log positions, term, identity, members, and checksums of the log and the state. */
    static List<String> recover(InputStream folder, String address, StoredFrames.Program program)
            throws IOException, ServiceException, ReflectiveOperationException {
        Simulator sim = new Simulator(1);
        Harness harness = new Harness(address, sim, new SimNet(sim));
        harness.boot(new RpcRouter());
        try (DataInputStream data = new DataInputStream(new GZIPInputStream(folder))) {
            harness.disk().load(data);
        }
        RingWriteAheadLog wal = RingWriteAheadLog.open(harness.disk(), harness.host(), RING_FILES, RING_BYTES);
        Codec codec = program.codec();
        NodeEnvironment environment = new NodeEnvironment(
                harness.host(),
                harness.host(),
                harness.rpc(codec),
                codec,
                wal,
                sim.random()::nextLong,
                ReplicationTiming.partitions());
        List<String> out = new ArrayList<>();
        for (Map.Entry<String, List<WalRecord>> partition : new TreeMap<>(wal.recovered()).entrySet()) {
            StateMachine state = partition.getKey().startsWith("c")
                    ? new ControlStateMachine(codec, HISTORY_BYTES)
                    : new MessageStateMachine(partition.getKey(), codec);
            Replica replica = new Replica(partition.getKey(), List.of(), state, environment);
            replica.start(partition.getValue());
            ReplicaProbe.Snapshot recovered = ReplicaProbe.state(replica);
            applyLog(recovered, state, codec);
            out.add(line(partition, recovered, codec.read(state.snapshot(), Object.class)));
        }
        sim.run(Duration.ofSeconds(1));
        return out;
    }

    /** Applies all stored entries, as if a leader had confirmed them as committed. */
    private static void applyLog(ReplicaProbe.Snapshot recovered, StateMachine state, Codec codec)
            throws ServiceException {
        for (long index = recovered.appliedIndex() + 1; index <= recovered.lastIndex(); index++) {
            LogEntry entry = recovered.entry(index);
            if (entry.kind() == LogEntry.Kind.COMMAND) {
                state.apply(index, codec.read(entry.bytes(), Object.class));
            }
        }
    }

    private static String line(
            Map.Entry<String, List<WalRecord>> partition, ReplicaProbe.Snapshot recovered, Object state)
            throws ReflectiveOperationException {
        return String.join(
                " ",
                partition.getKey(),
                "records=" + partition.getValue().size(),
                "term=" + recovered.term(),
                "identity=" + recovered.identity(),
                "voter=" + recovered.voter(),
                "applied=" + recovered.appliedIndex(),
                "last=" + recovered.lastIndex(),
                "log=" + checksum(CanonicalText.of(recovered.log())),
                "members=" + recovered.members(),
                "state=" + checksum(CanonicalText.of(state)));
    }

    private static String checksum(String text) {
        return Configurations.sha256(text).substring(0, CHECKSUM_DIGITS);
    }
}
