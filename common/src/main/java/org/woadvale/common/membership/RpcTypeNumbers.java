package org.woadvale.common.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.BootstrapMessages;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.SnapshotMessages;
import org.woadvale.common.rpc.Codec;

/** The numbers of the types between nodes and on disk; in each list, only ever add at the end. */
public final class RpcTypeNumbers {
    /** The first number of the types that only control nodes have. */
    public static final int CONTROL_PLANE = 300;
    /** The first number of the types that only data plane nodes have. */
    public static final int DATA_PLANE = 400;

    private static final int SHARED = 100;
    private static final int SNAPSHOTS = 250;
    private static final int BOOTSTRAP = 270;

    private RpcTypeNumbers() {}

    /** The codec of a program, with its own types from a number on. */
    public static Codec codec(int ownFirst, List<Class<?>> own) {
        return new Codec(numbers(ownFirst, own));
    }

    /** The types of a program by the number of the first of each list. */
    public static Map<Integer, List<Class<?>>> numbers(int ownFirst, List<Class<?>> own) {
        List<Class<?>> shared = new ArrayList<>();
        shared.addAll(ReplicationMessages.types());
        shared.addAll(ControlMessages.types());
        shared.addAll(TokenMessages.types());
        shared.addAll(ControlMessages.typesAddedLater());
        return Map.of(
                SHARED,
                shared,
                SNAPSHOTS,
                SnapshotMessages.types(),
                BOOTSTRAP,
                BootstrapMessages.types(),
                ownFirst,
                own);
    }
}
