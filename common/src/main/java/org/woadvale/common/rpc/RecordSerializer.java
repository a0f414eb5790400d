package org.woadvale.common.rpc;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Serializes a record as the number of its components, followed by the components: older readers ignore trailing
 * components that they do not know, newer ones fill in defaults for missing ones. Trailing components introduced in
 * format 5 or later are omitted while they have their default value, so that the bytes stay the same as in the previous
 * format (docs/design.md, section 3.4).
 */
final class RecordSerializer extends Serializer<Object> {
    private static final Map<Class<?>, Object> DEFAULTS = Map.of(
            String.class,
            "",
            int.class,
            0,
            long.class,
            0L,
            boolean.class,
            false,
            double.class,
            0.0,
            byte[].class,
            new byte[0],
            List.class,
            List.of(),
            Map.class,
            Map.of(),
            Duration.class,
            Duration.ZERO,
            Instant.class,
            Instant.EPOCH);
    /** Trailing components introduced in this format or later are not written while they have their default value. */
    private static final int FIRST_FORMAT_WITH_OMISSION = 5;

    private final Class<?> type;
    private final RecordComponent[] components;
    /** The number of leading components that are always written. */
    private final int alwaysWritten;

    private final Constructor<?> constructor;
    private final boolean firstFormat;

    /**
     * Creates the serializer of a record type. The first format had no component count and stored components in the
     * order of their names.
     */
    RecordSerializer(Class<?> type, boolean firstFormat) {
        this.type = type;
        this.components = type.getRecordComponents();
        this.alwaysWritten = countAlwaysWritten(components);
        this.firstFormat = firstFormat;
        try {
            this.constructor = type.getDeclaredConstructor(
                    Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new));
            constructor.setAccessible(true);
            Arrays.stream(components)
                    .forEach(component -> component.getAccessor().setAccessible(true));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void write(Kryo kryo, Output out, Object value) {
        if (firstFormat) {
            throw new IllegalStateException("the first format cannot be written");
        }
        try {
            int count = writtenComponents(value);
            out.writeVarInt(count, true);
            for (int index = 0; index < count; index++) {
                kryo.writeClassAndObject(out, components[index].getAccessor().invoke(value));
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private int writtenComponents(Object value) throws ReflectiveOperationException {
        int count = components.length;
        while (count > alwaysWritten && hasDefaultValue(components[count - 1], value)) {
            count--;
        }
        return count;
    }

    private static boolean hasDefaultValue(RecordComponent component, Object value)
            throws ReflectiveOperationException {
        return Objects.deepEquals(component.getAccessor().invoke(value), defaultValue(component.getType()));
    }

    private static int countAlwaysWritten(RecordComponent[] components) {
        int count = components.length;
        while (count > 0 && isOmissible(components[count - 1])) {
            count--;
        }
        return count;
    }

    private static boolean isOmissible(RecordComponent component) {
        return Optional.ofNullable(component.getAnnotation(Since.class))
                .filter(since -> since.value() >= FIRST_FORMAT_WITH_OMISSION)
                .isPresent();
    }

    @Override
    public Object read(Kryo kryo, Input in, Class<? extends Object> requestedType) {
        Object[] args = Arrays.stream(components)
                .map(component -> defaultValue(component.getType()))
                .toArray();
        if (firstFormat) {
            readFirstFormat(kryo, in, args);
        } else {
            int count = in.readVarInt(true);
            for (int index = 0; index < count; index++) {
                Object value = kryo.readClassAndObject(in);
                if (index < args.length) {
                    args[index] = value;
                }
            }
        }
        try {
            return constructor.newInstance(args);
        } catch (ReflectiveOperationException e) {
            throw new KryoException("cannot construct " + type.getSimpleName() + " from the decoded components", e);
        }
    }

    private void readFirstFormat(Kryo kryo, Input in, Object[] args) {
        int[] order = IntStream.range(0, components.length)
                .boxed()
                .filter(index -> !components[index].isAnnotationPresent(Since.class))
                .sorted(Comparator.comparing(index -> firstFormatName(components[index])))
                .mapToInt(Integer::intValue)
                .toArray();
        for (int index : order) {
            Class<?> type = components[index].getType();
            args[index] = type.isPrimitive()
                    ? kryo.readObject(in, type)
                    : kryo.isFinal(type) ? kryo.readObjectOrNull(in, type) : kryo.readClassAndObject(in);
        }
    }

    private static String firstFormatName(RecordComponent component) {
        return Optional.ofNullable(component.getAnnotation(FirstFormatName.class))
                .map(FirstFormatName::value)
                .orElse(component.getName());
    }

    /** The value of a component that the writer did not know yet. */
    private static Object defaultValue(Class<?> type) {
        if (type.isEnum()) {
            return type.getEnumConstants()[0];
        }
        return Optional.ofNullable(DEFAULTS.get(type)).orElse(Optional.empty());
    }
}
