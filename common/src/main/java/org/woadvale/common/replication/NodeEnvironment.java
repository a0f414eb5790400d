package org.woadvale.common.replication;

import java.util.function.LongSupplier;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.Timers;
import org.woadvale.common.wal.WriteAheadLog;

/** All that a replica needs of the world; each piece can be faked: design 2.1. */
public record NodeEnvironment(
        Clock clock,
        Timers timers,
        RpcClient rpc,
        Codec codec,
        WriteAheadLog wal,
        LongSupplier random,
        ReplicationTiming timing) {
    public String self() {
        return rpc.self();
    }
}
