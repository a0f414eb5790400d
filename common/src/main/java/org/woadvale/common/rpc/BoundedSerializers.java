package org.woadvale.common.rpc;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
import com.esotericsoftware.kryo.serializers.DefaultArraySerializers;
import com.esotericsoftware.kryo.serializers.ImmutableCollectionsSerializers;
import com.esotericsoftware.kryo.serializers.MapSerializer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Kryo's serializers for arrays and collections with a bound on the declared size. A size that the rest of the frame
 * cannot hold is rejected before anything is allocated for it, since a few damaged bytes could otherwise request
 * gigabytes. The bytes written are the same as Kryo's.
 */
final class BoundedSerializers {
    private BoundedSerializers() {}

    /** Registers arrays and mutable collections under their fixed type ids. */
    static void registerMutable(Kryo kryo) {
        kryo.register(
                byte[].class,
                new SizePrefixed<>(new DefaultArraySerializers.ByteArraySerializer(), false),
                KryoTypeIds.BYTE_ARRAY);
        kryo.register(ArrayList.class, new ListSerializer(), KryoTypeIds.ARRAY_LIST);
        kryo.register(HashMap.class, new HashMapSerializer(), KryoTypeIds.HASH_MAP);
    }

    /** Registers immutable collections under the next free type ids, as Kryo does. */
    static void registerImmutable(Kryo kryo) {
        ImmutableCollectionsSerializers.registerSerializers(kryo);
        for (Object sample : List.of(
                List.of(),
                List.of(1),
                List.of(1, 1, 1),
                Set.of(),
                Set.of(1),
                Set.of("a", "b", "c"),
                Map.of(),
                Map.of(1, 1))) {
            boundSerializer(kryo, sample.getClass());
        }
        boundSerializer(kryo, Map.of(1, 1, 2, 2).getClass());
    }

    private static void boundSerializer(Kryo kryo, Class<?> type) {
        Serializer<?> delegate = kryo.getRegistration(type).getSerializer();
        if (!(delegate instanceof SizePrefixed)) {
            kryo.getRegistration(type)
                    .setSerializer(new SizePrefixed<>(delegate, delegate instanceof CollectionSerializer));
        }
    }

    /** Rejects a size that exceeds the remaining bytes, since each element takes at least one byte. */
    private static void checkSize(Input in, int size) {
        if (size < 0 || size > in.limit() - in.position()) {
            throw new KryoException("size " + size + " exceeds the rest of the frame");
        }
    }

    /** Wraps a serializer whose encoding begins with the size, or with the size plus one. */
    private static final class SizePrefixed<T> extends Serializer<T> {
        private final Serializer<T> delegate;
        private final boolean sizeHasFlagBit;

        /** Collections, unlike arrays and maps, hold a flag in the first byte of their size. */
        SizePrefixed(Serializer<T> delegate, boolean sizeHasFlagBit) {
            super(delegate.getAcceptsNull(), delegate.isImmutable());
            this.delegate = delegate;
            this.sizeHasFlagBit = sizeHasFlagBit;
        }

        @Override
        public void write(Kryo kryo, Output out, T object) {
            delegate.write(kryo, out, object);
        }

        @Override
        public T read(Kryo kryo, Input in, Class<? extends T> type) {
            int start = in.position();
            int size = sizeHasFlagBit ? in.readVarIntFlag(true) : in.readVarInt(true);
            checkSize(in, Math.max(0, size - 1));
            in.setPosition(start);
            return delegate.read(kryo, in, type);
        }
    }

    private static final class ListSerializer extends CollectionSerializer<ArrayList<?>> {
        @Override
        protected ArrayList<?> create(Kryo kryo, Input in, Class<? extends ArrayList<?>> type, int size) {
            checkSize(in, size);
            return new ArrayList<>(size);
        }
    }

    private static final class HashMapSerializer extends MapSerializer<HashMap<?, ?>> {
        @Override
        protected HashMap<?, ?> create(Kryo kryo, Input in, Class<? extends HashMap<?, ?>> type, int size) {
            checkSize(in, size);
            return new HashMap<>();
        }
    }
}
