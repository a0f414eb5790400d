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
 * Kryo encoding with required registration and fixed type ids, so that no class name is ever read from the wire
 * (docs/design.md, section 3.2).
 */
public final class Codec {
    /** Oldest version of the internal protocol that this build supports. */
    public static final int OLDEST_VERSION = 2;

    /** Newest version of the internal protocol that this build supports. */
    public static final int NEWEST_VERSION = 2;
    /** Maximum size of a frame in bytes. */
    public static final int MAX_FRAME_BYTES = 24 << 20;

    private static final int FIRST_BUFFER_BYTES = 512;
    /** Maximum nesting depth of objects; the deepest message has fewer than ten levels. */
    private static final int MAX_DEPTH = 64;

    private final Map<Integer, List<Class<?>>> types;
    private final ThreadLocal<Kryo> kryos = ThreadLocal.withInitial(() -> createKryo(false));
    private final ThreadLocal<Kryo> firstFormatKryos = ThreadLocal.withInitial(() -> createKryo(true));

    /**
     * Creates a codec. Each list of types is keyed by the type id of its first element; each program has an id range of
     * its own for its types.
     */
    public Codec(Map<Integer, List<Class<?>>> types) {
        this.types = Map.copyOf(types);
    }

    private Kryo createKryo(boolean firstFormat) {
        Kryo kryo = new Kryo();
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.setMaxDepth(MAX_DEPTH);
        BoundedSerializers.registerMutable(kryo);
        kryo.register(TreeMap.class, KryoTypeIds.TREE_MAP);
        kryo.register(Duration.class, KryoTypeIds.DURATION);
        kryo.register(Instant.class, KryoTypeIds.INSTANT);
        kryo.register(Optional.class, KryoTypeIds.OPTIONAL);
        register(kryo, Frame.class, KryoTypeIds.FRAME, firstFormat);
        kryo.register(Frame.Kind.class, KryoTypeIds.FRAME_KIND);
        register(kryo, Frame.ErrorResponse.class, KryoTypeIds.ERROR_RESPONSE, firstFormat);
        kryo.register(LinkedHashMap.class, KryoTypeIds.LINKED_HASH_MAP);
        kryo.register(TreeSet.class, KryoTypeIds.TREE_SET);
        BoundedSerializers.registerImmutable(kryo);
        types.forEach((firstId, list) -> {
            for (int i = 0; i < list.size(); i++) {
                register(kryo, list.get(i), firstId + i, firstFormat);
            }
        });
        return kryo;
    }

    private static void register(Kryo kryo, Class<?> type, int id, boolean firstFormat) {
        if (type.isRecord()) {
            kryo.register(type, new RecordSerializer(type, firstFormat), id);
        } else {
            kryo.register(type, id);
        }
    }

    /** Encodes a value, preceded by its type id. */
    public byte[] write(Object value) {
        Output out = new Output(FIRST_BUFFER_BYTES, MAX_FRAME_BYTES);
        kryos.get().writeClassAndObject(out, value);
        return out.toBytes();
    }

    /** Decodes a value that this or another build wrote; fails with BAD_REQUEST if it is unreadable. */
    public <T> T read(byte[] bytes, Class<T> type) throws ServiceException {
        return read(kryos.get(), bytes, type);
    }

    /** Re-encodes in the current format what a build of the first format stored (docs/design.md, section 3.4). */
    public byte[] upgrade(byte[] firstFormatBytes) throws ServiceException {
        return firstFormatBytes.length == 0 ? firstFormatBytes : write(readFirstFormat(firstFormatBytes, Object.class));
    }

    /** Decodes a value of the first format. */
    public <T> T readFirstFormat(byte[] firstFormatBytes, Class<T> type) throws ServiceException {
        return read(firstFormatKryos.get(), firstFormatBytes, type);
    }

    /**
     * Untrusted bytes can make the serializer of any type throw any runtime exception; each of them means an unreadable
     * frame.
     */
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
