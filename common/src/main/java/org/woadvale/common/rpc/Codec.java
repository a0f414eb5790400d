package org.woadvale.common.rpc;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;

/**
 * Kryo with required registration and fixed numbers: no class name ever comes off the wire. (docs/design.md, section
 * 3.2)
 */
public final class Codec {
    /** Range of inner protocol versions that this build speaks. */
    public static final int OLDEST_VERSION = 2;

    /** The newest version that this build speaks. */
    public static final int NEWEST_VERSION = 2;
    /** No frame is larger. */
    public static final int MAX_FRAME_BYTES = 24 << 20;

    private static final int FIRST_BUFFER_BYTES = 512;
    /** Objects within each other; the deepest message of ours has less than ten. */
    private static final int MAX_DEPTH = 64;

    private final Map<Integer, List<Class<?>>> types;
    private final ThreadLocal<Kryo> kryos = ThreadLocal.withInitial(() -> createKryo(false));
    private final ThreadLocal<Kryo> firstFormat = ThreadLocal.withInitial(() -> createKryo(true));

    /** Types by their first number; each program's own types have a range to themselves. */
    public Codec(Map<Integer, List<Class<?>>> types) {
        this.types = Map.copyOf(types);
    }

    private Kryo createKryo(boolean first) {
        Kryo kryo = new Kryo();
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.setMaxDepth(MAX_DEPTH);
        BoundedSerializers.registerMutable(kryo);
        kryo.register(TreeMap.class, KryoTypeIds.TREE_MAP);
        kryo.register(Duration.class, KryoTypeIds.DURATION);
        kryo.register(Instant.class, KryoTypeIds.INSTANT);
        kryo.register(Optional.class, KryoTypeIds.OPTIONAL);
        register(kryo, Frame.class, KryoTypeIds.FRAME, first);
        kryo.register(Frame.Kind.class, KryoTypeIds.FRAME_KIND);
        register(kryo, Frame.ErrorResponse.class, KryoTypeIds.ERROR_RESPONSE, first);
        kryo.register(LinkedHashMap.class, KryoTypeIds.LINKED_HASH_MAP);
        kryo.register(TreeSet.class, KryoTypeIds.TREE_SET);
        BoundedSerializers.registerImmutable(kryo);
        types.forEach((from, list) -> {
            for (int i = 0; i < list.size(); i++) {
                register(kryo, list.get(i), from + i, first);
            }
        });
        return kryo;
    }

    private static void register(Kryo kryo, Class<?> type, int id, boolean first) {
        if (type.isRecord()) {
            kryo.register(type, new RecordSerializer(type, first), id);
        } else {
            kryo.register(type, id);
        }
    }

    /** The bytes of a value with its type number. */
    public byte[] write(Object value) {
        Output out = new Output(FIRST_BUFFER_BYTES, MAX_FRAME_BYTES);
        kryos.get().writeClassAndObject(out, value);
        return out.toBytes();
    }

    /** The value in bytes that this or another build wrote; fails with BAD_REQUEST if they are unreadable. */
    public <T> T read(byte[] bytes, Class<T> type) throws ServiceException {
        return read(kryos.get(), bytes, type);
    }

    /** What a build of the first format stored, said again in the present one. (docs/design.md, section 3.4) */
    public byte[] upgrade(byte[] firstFormatBytes) throws ServiceException {
        return firstFormatBytes.length == 0 ? firstFormatBytes : write(readFirstFormat(firstFormatBytes, Object.class));
    }

    /** The value in bytes of the first format. */
    public <T> T readFirstFormat(byte[] firstFormatBytes, Class<T> type) throws ServiceException {
        return read(firstFormat.get(), firstFormatBytes, type);
    }

    /** Foreign bytes may fail anywhere in any reader of a type: whatever it throws, the frame is unreadable. */
    private static <T> T read(Kryo kryo, byte[] bytes, Class<T> type) throws ServiceException {
        try {
            Object value = kryo.readClassAndObject(new Input(bytes));
            if (!type.isInstance(value)) {
                throw new InvalidRequestException("Expected " + type.getSimpleName() + " in a frame.");
            }
            return type.cast(value);
        } catch (RuntimeException e) {
            throw new InvalidRequestException(
                    "Unreadable frame: " + e.getClass().getSimpleName() + ".");
        }
    }
}
