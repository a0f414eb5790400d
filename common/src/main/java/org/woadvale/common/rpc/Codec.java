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

/** Kryo with required registration and fixed numbers: no class name ever comes off the wire. design 3.2 */
public final class Codec {
    /** Range of inner protocol versions that this build speaks. */
    public static final int OLDEST_VERSION = 2;

    public static final int NEWEST_VERSION = 2;
    public static final int MAX_FRAME_BYTES = 24 << 20;
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
        kryo.register(TreeMap.class, 23);
        kryo.register(Duration.class, 24);
        kryo.register(Instant.class, 25);
        kryo.register(Optional.class, 26);
        register(kryo, Frame.class, 27, first);
        kryo.register(Frame.Kind.class, 28);
        register(kryo, Frame.ErrorResponse.class, 29, first);
        kryo.register(LinkedHashMap.class, 30);
        kryo.register(TreeSet.class, 31);
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

    public byte[] write(Object o) {
        Output out = new Output(512, MAX_FRAME_BYTES);
        kryos.get().writeClassAndObject(out, o);
        return out.toBytes();
    }

    public <T> T read(byte[] bytes, Class<T> type) throws ServiceException {
        return read(kryos.get(), bytes, type);
    }

    /** What a build of the first format stored, said again in the present one. design 3.4 */
    public byte[] upgrade(byte[] firstFormatBytes) throws ServiceException {
        return firstFormatBytes.length == 0 ? firstFormatBytes : write(readFirst(firstFormatBytes, Object.class));
    }

    public <T> T readFirst(byte[] firstFormatBytes, Class<T> type) throws ServiceException {
        return read(firstFormat.get(), firstFormatBytes, type);
    }

    /** Foreign bytes may fail anywhere in any reader of a type: whatever it throws, the frame is unreadable. */
    private static <T> T read(Kryo kryo, byte[] bytes, Class<T> type) throws ServiceException {
        try {
            Object o = kryo.readClassAndObject(new Input(bytes));
            if (!type.isInstance(o)) {
                throw new InvalidRequestException("Expected " + type.getSimpleName() + " in a frame.");
            }
            return type.cast(o);
        } catch (RuntimeException e) {
            throw new InvalidRequestException(
                    "Unreadable frame: " + e.getClass().getSimpleName() + ".");
        }
    }
}
