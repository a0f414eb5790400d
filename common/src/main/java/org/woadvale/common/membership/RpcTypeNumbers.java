package org.woadvale.common.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.BootstrapMessages;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.replication.SnapshotMessages;
import org.woadvale.common.rpc.Codec;

/** The type ids between nodes and on disk; types are only ever appended to a list. */
public final class RpcTypeNumbers {
    /** The first id of the types that only control nodes have. */
    public static final int CONTROL_PLANE = 300;
    /** The first id of the types that only data plane nodes have. */
    public static final int DATA_PLANE = 400;

    private static final int SHARED = 100;
    private static final int SNAPSHOTS = 250;
    private static final int BOOTSTRAP = 270;

    private RpcTypeNumbers() {}

    /** Creates the codec of a program, whose own types are numbered from {@code firstOwnId} on. */
    public static Codec codec(int firstOwnId, List<Class<?>> ownTypes) {
        return new Codec(numbers(firstOwnId, ownTypes));
    }

    /** The lists of a program's types by the id of the first type in each. */
    public static Map<Integer, List<Class<?>>> numbers(int firstOwnId, List<Class<?>> ownTypes) {
        List<Class<?>> sharedTypes = new ArrayList<>();
        sharedTypes.addAll(ReplicationMessages.types());
        sharedTypes.addAll(ControlMessages.types());
        sharedTypes.addAll(TokenMessages.types());
        sharedTypes.addAll(ControlMessages.typesAddedLater());
        return Map.of(
                SHARED,
                sharedTypes,
                SNAPSHOTS,
                SnapshotMessages.types(),
                BOOTSTRAP,
                BootstrapMessages.types(),
                firstOwnId,
                ownTypes);
    }
}
