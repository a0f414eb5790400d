package org.woadvale.testkit.explore;

import java.time.Duration;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.wal.WriteAheadLog;

/** Hooks around the engine that disable one of its rules. The default methods change nothing. */
interface Mutant {
    /** The unmodified engine. */
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

    /** Called right after a node was restarted with an empty disk. */
    default void afterWipe(ModelNode node) {}

    /** Called after each step of the schedule. */
    default void afterStep(ModelCluster cluster) {}
}
