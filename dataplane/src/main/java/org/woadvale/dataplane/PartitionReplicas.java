package org.woadvale.dataplane;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.dataplane.queue.MessagePartitions;

/** In which message parts this store counts, and which it owns: design 6.5. Empty on a node that is no store. */
final class PartitionReplicas {
    private final Env env;
    private final ViewSubscriptions news;
    private final Optional<MessagePartitions> berths;

    PartitionReplicas(Env env, ViewSubscriptions news, Optional<MessagePartitions> berths) {
        this.env = env;
        this.news = news;
        this.berths = berths;
    }

    /** The group of each message part here. */
    Map<String, Set<String>> groups() {
        Map<String, Set<String>> out = new TreeMap<>();
        berths.ifPresent(
                b -> b.all().forEach((id, x) -> out.put(id, x.replica().group().keySet())));
        return out;
    }

    private List<String> mine() {
        return berths.isEmpty()
                ? List.of()
                : news.latest(ServiceNames.STORES).placement().entrySet().stream()
                        .filter(e -> e.getValue().contains(env.self()))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
    }

    /** The parts that the placement gives to this store, and in which it does not count yet. */
    List<String> unseated() {
        Map<String, Set<String>> groups = groups();
        return mine().stream()
                .filter(p -> !groups.getOrDefault(p, Set.of()).contains(env.self()))
                .toList();
    }

    long owned() {
        return berths.map(b -> b.all().values().stream()
                        .filter(x -> x.replica().mayAct())
                        .count())
                .orElse(0L);
    }

    long term(String part) {
        return berths.map(b -> b.all().get(part)).map(x -> x.replica().term()).orElse(0L);
    }

    void status(Map<String, Object> out) {
        berths.ifPresent(b -> {
            Map<String, Object> parts = new LinkedHashMap<>();
            b.all()
                    .forEach((id, x) -> parts.put(
                            id,
                            Map.of(
                                    "phase",
                                    x.replica().phase(),
                                    "term",
                                    x.replica().term(),
                                    "messages",
                                    x.replica().look(i -> x.machine().count()),
                                    "liveBytes",
                                    x.replica().look(i -> x.machine().liveBytes()),
                                    "group",
                                    x.replica().group().keySet())));
            out.put("parts", parts);
            out.put("owned", owned());
            out.put("seated", !mine().isEmpty() && unseated().isEmpty());
            out.put("syncs", env.logbook().syncs());
            out.put("ringFilesWritten", env.logbook().filesWritten());
        });
    }
}
