package org.woadvale.testkit.compatibility;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.dataplane.queue.MessageCommands;

/** One line per registered type: program, type number, encoded sample, and the component order of the first format. */
final class StoredFrames {
    private StoredFrames() {}

    /** The registered types of one program. */
    record Program(String name, int ownFirst, List<Class<?>> own) {
        Codec codec() {
            return RpcTypeNumbers.codec(ownFirst, own);
        }

        Map<Integer, Class<?>> types() {
            Map<Integer, Class<?>> out = new TreeMap<>();
            RpcTypeNumbers.numbers(ownFirst, own).forEach((first, list) -> {
                for (int i = 0; i < list.size(); i++) {
                    out.put(first + i, list.get(i));
                }
            });
            return out;
        }
    }

    static List<Program> programs() {
        return List.of(
                new Program("control", RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types()),
                new Program("data", RpcTypeNumbers.DATA_PLANE, MessageCommands.types()));
    }

    static List<String> lines() throws ReflectiveOperationException {
        List<String> out = new ArrayList<>();
        for (Program program : programs()) {
            for (Map.Entry<Integer, Class<?>> type : program.types().entrySet()) {
                byte[] bytes = program.codec().write(SampleValues.of(type.getValue()));
                out.add(String.join(
                        " ",
                        program.name(),
                        type.getKey().toString(),
                        HexFormat.of().formatHex(bytes),
                        firstFormatOrder(type.getValue())));
            }
        }
        return out;
    }

    private static String firstFormatOrder(Class<?> type) {
        if (!type.isRecord()) {
            return "-";
        }
        RecordComponent[] components = type.getRecordComponents();
        return IntStream.range(0, components.length)
                .boxed()
                .filter(i -> !components[i].isAnnotationPresent(Since.class))
                .sorted(Comparator.comparing(i -> firstFormatName(components[i])))
                .map(String::valueOf)
                .collect(Collectors.joining(",", "o", ""));
    }

    private static String firstFormatName(RecordComponent component) {
        return Optional.ofNullable(component.getAnnotation(FirstFormatName.class))
                .map(FirstFormatName::value)
                .orElse(component.getName());
    }

    static Optional<Program> program(String name) {
        return programs().stream()
                .filter(program -> program.name().equals(name))
                .findFirst();
    }

    static List<String> fields(String line) {
        return Arrays.asList(line.split(" "));
    }
}
