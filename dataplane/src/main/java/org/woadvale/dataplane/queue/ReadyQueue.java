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
        lanes.computeIfAbsent(message.lane(), name -> new TreeMap<>())
                .computeIfAbsent(message.tenant(), t -> new TreeSet<>(BY_DUE))
                .add(message);
    }

    void remove(Message message) {
        Map<String, TreeSet<Message>> tenants = lanes.getOrDefault(message.lane(), Map.of());
        TreeSet<Message> messages = tenants.getOrDefault(message.tenant(), new TreeSet<>(BY_DUE));
        messages.remove(message);
        if (messages.isEmpty() && !tenants.isEmpty()) {
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

    /** The due ones of a lane, one of each tenant in turn: many messages of one tenant hide no other tenant's. */
    public List<Message> due(String lane, Instant now, int most, int turn, Predicate<Message> desired) {
        List<List<Message>> byTenant = new ArrayList<>();
        Map<String, TreeSet<Message>> tenants = lanes.getOrDefault(lane, Map.of());
        int each = Math.max(1, most / Math.max(1, tenants.size()));
        tenants.values()
                .forEach(messages -> byTenant.add(messages.stream()
                        .takeWhile(message -> !message.due().isAfter(now))
                        .filter(desired)
                        .limit(each)
                        .toList()));
        // the first place goes round, for when there is room for one only
        Collections.rotate(byTenant, turn);
        List<Message> out = new ArrayList<>();
        for (int i = 0; i < each; i++) {
            for (List<Message> ofTenant : byTenant) {
                if (i < ofTenant.size()) {
                    out.add(ofTenant.get(i));
                }
            }
        }
        return out;
    }

    /** The due ones of all lanes, lane by lane, as {@link #due} has them. */
    public List<Message> dueOfAllLanes(Instant now, int mostPerLane, int turn, Predicate<Message> desired) {
        List<Message> due = new ArrayList<>();
        lanes().forEach(lane -> due.addAll(due(lane, now, mostPerLane, turn, desired)));
        return due;
    }
}
