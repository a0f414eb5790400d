package org.woadvale.testkit.compatibility;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.rpc.Since;

/** Creates a sample instance of a type from the types and positions of its components only; names have no effect. */
final class SampleValues {
    private static final int MAX_DEPTH = 4;

    private SampleValues() {}

    private static final int LATEST_STORED_FORMAT = 4;

    static Object of(Type type) throws ReflectiveOperationException {
        return of(type, 1, 0);
    }

    private static Object of(Type type, int position, int depth) throws ReflectiveOperationException {
        if (type instanceof ParameterizedType generic) {
            return collection(generic, position, depth);
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType.isRecord()) {
            return record(rawType, depth);
        }
        if (rawType.isEnum()) {
            Object[] constants = rawType.getEnumConstants();
            return constants[constants.length - 1];
        }
        return simple(rawType, position);
    }

    private static Object simple(Class<?> type, int position) {
        if (type == boolean.class || type == Boolean.class) {
            return true;
        } else if (type == int.class || type == Integer.class) {
            return position;
        } else if (type == byte.class) {
            return (byte) position;
        } else if (type == long.class || type == Long.class) {
            return 1000L + position;
        } else if (type == double.class || type == Double.class) {
            return 0.5 + position;
        } else if (type == byte[].class) {
            return new byte[] {(byte) position, 1};
        } else if (type == Duration.class) {
            return Duration.ofMillis(position);
        } else if (type == Instant.class) {
            return Instant.ofEpochSecond(position);
        } else if (type == String.class || type == Object.class) {
            return "v" + position;
        }
        throw new IllegalArgumentException("no sample for " + type);
    }

    private static Object collection(ParameterizedType type, int position, int depth)
            throws ReflectiveOperationException {
        Type[] arguments = type.getActualTypeArguments();
        boolean tooDeep = depth >= MAX_DEPTH;
        Class<?> raw = (Class<?>) type.getRawType();
        if (raw == Map.class) {
            return tooDeep
                    ? Map.of()
                    : Map.of(of(arguments[0], position, depth + 1), of(arguments[1], position, depth + 1));
        } else if (raw == List.class) {
            return tooDeep ? List.of() : List.of(of(arguments[0], position, depth + 1));
        } else if (raw == Set.class) {
            return tooDeep ? Set.of() : Set.of(of(arguments[0], position, depth + 1));
        } else if (raw == Optional.class) {
            return tooDeep ? Optional.empty() : Optional.of(of(arguments[0], position, depth + 1));
        }
        throw new IllegalArgumentException("no sample for " + type);
    }

    /** Whether a component was added after format 4. It keeps its default, so that the bytes are those of format 4. */
    static boolean isOfLaterFormat(RecordComponent component) {
        Since since = component.getAnnotation(Since.class);
        return since != null && since.value() > LATEST_STORED_FORMAT;
    }

    private static Object defaultOf(Class<?> type) {
        if (type == int.class) {
            return 0;
        } else if (type == byte[].class) {
            return new byte[0];
        }
        throw new IllegalArgumentException("no default for " + type);
    }

    private static Object record(Class<?> type, int depth) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = isOfLaterFormat(components[i])
                    ? defaultOf(components[i].getType())
                    : of(components[i].getGenericType(), i + 1, depth + 1);
        }
        Constructor<?> constructor = type.getDeclaredConstructor(
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new));
        constructor.setAccessible(true);
        return constructor.newInstance(values);
    }
}
