package org.woadvale.testkit.compatibility;

import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Renders a value as text that is independent of type and component names and of the iteration order of maps and sets. */
final class CanonicalText {
    private CanonicalText() {}

    static String of(Object value) throws ReflectiveOperationException {
        if (value instanceof Record record) {
            return record(record);
        } else if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        } else if (value instanceof byte[] bytes) {
            return HexFormat.of().formatHex(bytes);
        } else if (value instanceof Map<?, ?> map) {
            TreeMap<String, String> sorted = new TreeMap<>();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                sorted.put(of(entry.getKey()), of(entry.getValue()));
            }
            return sorted.toString();
        } else if (value instanceof Set<?> set) {
            TreeSet<String> sorted = new TreeSet<>();
            for (Object element : set) {
                sorted.add(of(element));
            }
            return sorted.toString();
        } else if (value instanceof Collection<?> collection) {
            StringBuilder out = new StringBuilder("[");
            for (Object element : collection) {
                out.append(of(element)).append(';');
            }
            return out.append(']').toString();
        }
        return String.valueOf(value);
    }

    private static String record(Record record) throws ReflectiveOperationException {
        StringBuilder out = new StringBuilder("(");
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            Method accessor = component.getAccessor();
            accessor.setAccessible(true);
            String text = of(accessor.invoke(record));
            if (!text.isEmpty() || !SampleValues.isOfLaterFormat(component)) {
                out.append(text).append(',');
            }
        }
        return out.append(')').toString();
    }
}
