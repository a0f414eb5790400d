package org.woadvale.testkit.explore;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.wal.WalRecord;

/**
 * A hash of a state of the model: equal states have equal hashes. It traverses the fields of the engine's objects by
 * reflection, so new fields of the engine are included automatically. Times are hashed relative to the current time.
 * Callbacks are hashed by their class and by the request or timer that they belong to, not by what they captured.
 */
final class StateDigest {
    private static final String ENGINE = "org.woadvale.common.replication.";
    private static final String MODEL = "org.woadvale.testkit.explore.";
    private static final Duration FAR_PAST = ModelCluster.TICK.multipliedBy(-8);
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Duration now;
    private long hash = 0xCBF29CE484222325L;

    private StateDigest(Duration now) {
        this.now = now;
    }

    static long of(ModelCluster cluster) {
        StateDigest digest = new StateDigest(cluster.now());
        cluster.nodes().forEach(digest::addNode);
        cluster.network().messages().forEach(digest::addMessage);
        digest.add(cluster.desiredMembers());
        digest.mix(cluster.membershipChanges());
        digest.mix(cluster.clients().proposed());
        digest.add(cluster.checker().checkerState());
        return digest.hash;
    }

    private void addNode(ModelNode node) {
        StateDigest digest = new StateDigest(node.timers().monotonicTime());
        digest.add(node.replica());
        node.timers().pending().forEach(timer -> {
            digest.add(timer.due());
            digest.mix(timer.label().hashCode());
        });
        node.disk().durable().forEach(digest::addRecord);
        node.disk().pending().forEach(write -> {
            digest.mix(write.done().getClass().hashCode());
            write.records().forEach(digest::addRecord);
        });
        digest.add(node.machine().content());
        digest.mix(node.frozen() ? now.minus(node.frozenSince()).toMillis() : -1);
        digest.mix(node.diskGeneration());
        digest.add(node.desiredMembers());
        mix(digest.hash);
    }

    private void addRecord(WalRecord walRecord) {
        mix(walRecord.kind().ordinal());
        mix(walRecord.index());
        mix(walRecord.term());
        mix(Arrays.hashCode(walRecord.bytes()));
    }

    private void addMessage(ModelNetwork.Message message) {
        mix(message.from().hashCode());
        mix(message.to().hashCode());
        mix((message.reply() ? 1 : 0) + (message.held() ? 2 : 0) + (message.call().open ? 4 : 0));
        add(message.sent());
        add(message.body());
    }

    private void mix(long value) {
        long mixed = (hash ^ value) * 0x9E3779B97F4A7C15L;
        hash = mixed ^ (mixed >>> 29);
    }

    private void add(Object value) {
        if (value instanceof Duration time) {
            addTime(time);
        } else if (value instanceof byte[] bytes) {
            mix(Arrays.hashCode(bytes));
        } else if (value instanceof Enum<?> constant) {
            mix(constant.ordinal());
        } else if (value instanceof String || value instanceof Number || value instanceof Boolean) {
            mix(value.hashCode());
        } else if (value instanceof Optional<?> optional) {
            mix(optional.isPresent() ? 1 : 0);
            optional.ifPresent(this::add);
        } else if (value instanceof Map<?, ?> map) {
            addMap(map);
        } else if (value instanceof Collection<?> collection) {
            mix(collection.size());
            collection.forEach(this::add);
        } else if (isTraversed(value.getClass())) {
            addFields(value);
        }
    }

    private static boolean isTraversed(Class<?> type) {
        boolean traversable =
                type.getName().startsWith(ENGINE) || type.getName().startsWith(MODEL);
        return traversable
                && !type.isSynthetic()
                && !type.getName().equals(ENGINE + "Env")
                && type != RegisterMachine.class;
    }

    /** Zero means "never" in the engine; times far in the past are all equivalent. */
    private void addTime(Duration time) {
        Duration distance = time.minus(now);
        if (time.isZero()) {
            mix(Long.MIN_VALUE);
        } else {
            mix(distance.compareTo(FAR_PAST) < 0 ? Long.MIN_VALUE + 1 : distance.toNanos());
        }
    }

    /** Independent of the iteration order, because some maps are unordered. */
    private void addMap(Map<?, ?> map) {
        long sum = map.size();
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            StateDigest inner = new StateDigest(now);
            inner.seen.addAll(seen);
            inner.add(entry.getKey());
            inner.add(entry.getValue());
            sum += inner.hash;
        }
        mix(sum);
    }

    private void addFields(Object value) {
        if (!seen.add(value)) {
            mix(1);
            return;
        }
        for (Field field : FIELDS.computeIfAbsent(value.getClass(), StateDigest::fields)) {
            try {
                add(field.get(value));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException("cannot read field " + field, e);
            }
        }
    }

    private static List<Field> fields(Class<?> type) {
        return Arrays.stream(type.getDeclaredFields())
                .filter(field -> !Modifier.isStatic(field.getModifiers()))
                .peek(field -> field.setAccessible(true))
                .toList();
    }
}
