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

/**
 * Waiting messages that are first of their ordering key: by lane, then tenant, then due time. (docs/design.md, section
 * 9.4)
 */
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

    /** The lanes that have messages in this queue. */
    public List<String> lanes() {
        return List.copyOf(lanes.keySet());
    }

    /**
     * Due messages of a lane, interleaved by tenant: many messages of one tenant do not hide those of others. The
     * rotation selects the tenant that comes first.
     */
    public List<Message> due(String lane, Instant now, int limit, int rotation, Predicate<Message> filter) {
        List<List<Message>> byTenant = new ArrayList<>();
        Map<String, TreeSet<Message>> tenants = lanes.getOrDefault(lane, Map.of());
        int perTenant = Math.max(1, limit / Math.max(1, tenants.size()));
        tenants.values()
                .forEach(messages -> byTenant.add(messages.stream()
                        .takeWhile(message -> !message.due().isAfter(now))
                        .filter(filter)
                        .limit(perTenant)
                        .toList()));
        // rotates the first place among tenants, for callers that have room for one message only
        Collections.rotate(byTenant, rotation);
        List<Message> result = new ArrayList<>();
        for (int i = 0; i < perTenant; i++) {
            for (List<Message> tenantMessages : byTenant) {
                if (i < tenantMessages.size()) {
                    result.add(tenantMessages.get(i));
                }
            }
        }
        return result;
    }

    /** Due messages of all lanes, lane by lane, each in the order of {@link #due}. */
    public List<Message> dueOfAllLanes(Instant now, int limitPerLane, int rotation, Predicate<Message> filter) {
        List<Message> due = new ArrayList<>();
        lanes().forEach(lane -> due.addAll(due(lane, now, limitPerLane, rotation, filter)));
        return due;
    }
}
