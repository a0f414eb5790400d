package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Waiting messages that are first of their key: by lane, then tenant, then due time. (docs/design.md, section 9.4) */
public final class ReadyQueue {
    private static final Comparator<Message> BY_DUE =
            Comparator.comparing(Message::due).thenComparing(Message::seq);
    private final Map<String, Map<String, TreeSet<Message>>> lanes = new TreeMap<>();

    void add(Message message) {
        lanes.computeIfAbsent(message.lane(), line -> new TreeMap<>())
                .computeIfAbsent(message.tenant(), t -> new TreeSet<>(BY_DUE))
                .add(message);
    }

    void remove(Message message) {
        Map<String, TreeSet<Message>> tenants = lanes.getOrDefault(message.lane(), Map.of());
        TreeSet<Message> line = tenants.getOrDefault(message.tenant(), new TreeSet<>(BY_DUE));
        line.remove(message);
        if (line.isEmpty() && !tenants.isEmpty()) {
            tenants.remove(message.tenant());
        }
        if (tenants.isEmpty()) {
            lanes.remove(message.lane());
        }
    }

    void clear() {
        lanes.clear();
    }

    /** The lanes that have messages here. */
    public List<String> lanes() {
        return List.copyOf(lanes.keySet());
    }

    /** The due ones of a lane, one of each tenant in turn: a long line of one tenant hides nobody's. */
    public List<Message> due(String lane, Instant now, int most, int turn, Predicate<Message> desired) {
        List<List<Message>> lines = new ArrayList<>();
        Map<String, TreeSet<Message>> tenants = lanes.getOrDefault(lane, Map.of());
        int each = Math.max(1, most / Math.max(1, tenants.size()));
        tenants.values()
                .forEach(line -> lines.add(line.stream()
                        .takeWhile(message -> !message.due().isAfter(now))
                        .filter(desired)
                        .limit(each)
                        .toList()));
        // the first place goes round, for when there is room for one only
        Collections.rotate(lines, turn);
        List<Message> out = new ArrayList<>();
        for (int i = 0; i < each; i++) {
            for (List<Message> line : lines) {
                if (i < line.size()) {
                    out.add(line.get(i));
                }
            }
        }
        return out;
    }
}
