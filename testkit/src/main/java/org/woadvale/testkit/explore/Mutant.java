package org.woadvale.testkit.explore;

import java.time.Duration;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.wal.WriteAheadLog;

/** Seams around the engine through which a test leaves out one of its rules; by itself it changes nothing. */
interface Mutant {
    /** The shipped engine. */
    Mutant NONE = new Mutant() {};

    default Duration clock(ModelNode node, Duration localTime) {
        return localTime;
    }

    default RpcClient rpc(ModelNode node, RpcClient rpc) {
        return rpc;
    }

    default WriteAheadLog log(ModelNode node, WriteAheadLog log) {
        return log;
    }

    default ReplicationTiming timing(ModelNode node, ReplicationTiming timing) {
        return timing;
    }

    default StateMachine<String, String> machine(ModelNode node, StateMachine<String, String> machine) {
        return machine;
    }

    /** Called right after a node was started again with an empty disk. */
    default void wiped(ModelNode node) {}

    /** Called after each step of the schedule. */
    default void afterStep(ModelCluster cluster) {}
}
