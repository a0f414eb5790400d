package org.woadvale.common.replication;

import java.util.function.LongSupplier;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.Timers;
import org.woadvale.common.wal.WriteAheadLog;

/**
 * The external dependencies of a node's components; each has a fake for tests.
 *
 * @param clock monotonic and wall-clock time
 * @param timers delayed, repeated and disk tasks
 * @param rpc requests to other nodes
 * @param codec messages and stored records as bytes
 * @param wal the write-ahead log of this node
 * @param random random numbers, seeded in tests
 * @param timing the timeouts and intervals of the replication engine
 */
public record NodeEnvironment(
        Clock clock,
        Timers timers,
        RpcClient rpc,
        Codec codec,
        WriteAheadLog wal,
        LongSupplier random,
        ReplicationTiming timing) {
    /** The internal address of this node, which is also its name. */
    public String self() {
        return rpc.self();
    }
}
