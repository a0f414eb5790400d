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
 * The library's serializers for arrays and collections, which write the same bytes but do not believe a size that the
 * rest of the frame cannot hold: a few damaged bytes would otherwise ask for gigabytes.
 */
final class BoundedSerializers {
    private BoundedSerializers() {}

    /** Registers arrays and mutable collections under their fixed numbers. */
    static void registerMutable(Kryo kryo) {
        kryo.register(
                byte[].class,
                new SizePrefixed<>(new DefaultArraySerializers.ByteArraySerializer(), false),
                KryoTypeIds.BYTE_ARRAY);
        kryo.register(ArrayList.class, new ListSerializer(), KryoTypeIds.ARRAY_LIST);
        kryo.register(HashMap.class, new HashMapSerializer(), KryoTypeIds.HASH_MAP);
    }

    /** Registers immutable collections under the next free numbers, as the library does. */
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
            bound(kryo, sample.getClass());
        }
        bound(kryo, Map.of(1, 1, 2, 2).getClass());
    }

    private static void bound(Kryo kryo, Class<?> type) {
        Serializer<?> known = kryo.getRegistration(type).getSerializer();
        if (!(known instanceof SizePrefixed)) {
            kryo.getRegistration(type).setSerializer(new SizePrefixed<>(known, known instanceof CollectionSerializer));
        }
    }

    /** Each element takes a byte at least. */
    private static void check(Input in, int size) {
        if (size < 0 || size > in.limit() - in.position()) {
            throw new KryoException("a size of " + size + " in a frame that has less left");
        }
    }

    /** For serializers whose first number is the size, or one more than that. */
    private static final class SizePrefixed<T> extends Serializer<T> {
        private final Serializer<T> delegate;
        private final boolean flagged;

        /** Collections, unlike arrays and maps, keep a flag in the first byte of their size. */
        SizePrefixed(Serializer<T> delegate, boolean flagged) {
            super(delegate.getAcceptsNull(), delegate.isImmutable());
            this.delegate = delegate;
            this.flagged = flagged;
        }

        @Override
        public void write(Kryo kryo, Output out, T object) {
            delegate.write(kryo, out, object);
        }

        @Override
        public T read(Kryo kryo, Input in, Class<? extends T> type) {
            int start = in.position();
            int size = flagged ? in.readVarIntFlag(true) : in.readVarInt(true);
            check(in, Math.max(0, size - 1));
            in.setPosition(start);
            return delegate.read(kryo, in, type);
        }
    }

    private static final class ListSerializer extends CollectionSerializer<ArrayList<?>> {
        @Override
        protected ArrayList<?> create(Kryo kryo, Input in, Class<? extends ArrayList<?>> type, int size) {
            check(in, size);
            return new ArrayList<>(size);
        }
    }

    private static final class HashMapSerializer extends MapSerializer<HashMap<?, ?>> {
        @Override
        protected HashMap<?, ?> create(Kryo kryo, Input in, Class<? extends HashMap<?, ?>> type, int size) {
            check(in, size);
            return new HashMap<>();
        }
    }
}
