package org.woadvale.dataplane;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.LedGroup;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.GroupStatus;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.queue.MessagePartitions;

/**
 * In which message partitions this store counts, and which it owns (docs/design.md, section 6.5). Empty on a node that
 * is no store.
 */
final class PartitionReplicas {
    private final NodeEnvironment environment;
    private final ViewSubscriptions subscriptions;
    private final Optional<MessagePartitions> partitions;

    PartitionReplicas(
            NodeEnvironment environment, ViewSubscriptions subscriptions, Optional<MessagePartitions> partitions) {
        this.environment = environment;
        this.subscriptions = subscriptions;
        this.partitions = partitions;
    }

    /** The group of each message partition here. */
    Map<String, Set<String>> groups() {
        Map<String, Set<String>> out = new TreeMap<>();
        partitions.ifPresent(messagePartitions -> messagePartitions
                .all()
                .forEach((id, partition) ->
                        out.put(id, partition.replica().members().keySet())));
        return out;
    }

    private List<String> assigned() {
        return partitions.isEmpty()
                ? List.of()
                : subscriptions.latest(ServiceNames.STORES).placement().entrySet().stream()
                        .filter(entry -> entry.getValue().contains(environment.self()))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
    }

    /** The partitions that the placement gives to this store, and in which it does not count yet. */
    List<String> notVoting() {
        Map<String, Set<String>> groups = groups();
        return assigned().stream()
                .filter(p -> !groups.getOrDefault(p, Set.of()).contains(environment.self()))
                .toList();
    }

    /** What this store tells of the groups that it leads. */
    Map<String, LedGroup> ledGroups() {
        Map<String, LedGroup> led = new TreeMap<>();
        partitions.ifPresent(all -> all.all().forEach((id, partition) -> {
            GroupStatus status = partition.replica().status();
            if (status.leader()) {
                led.put(id, new LedGroup(status.term(), status.members(), status.stable()));
            }
        }));
        return led;
    }

    /** This store counts in no group, as far as it knows. */
    boolean inNoGroup() {
        return groups().values().stream().noneMatch(group -> group.contains(environment.self()));
    }

    /** Each replica here counts in its group under its present identity. */
    boolean votingEverywhere() {
        return partitions
                .map(all -> all.all().values().stream()
                        .allMatch(partition -> partition.replica().status().voting()))
                .orElse(true);
    }

    long ledPartitionCount() {
        return partitions
                .map(messagePartitions -> messagePartitions.all().values().stream()
                        .filter(partition -> partition.replica().isActiveLeader())
                        .count())
                .orElse(0L);
    }

    long term(String string) {
        return partitions
                .map(messagePartitions -> messagePartitions.all().get(string))
                .map(partition -> partition.replica().term())
                .orElse(0L);
    }

    void status(Map<String, Object> out) {
        partitions.ifPresent(messagePartitions -> {
            Map<String, Object> parts = new LinkedHashMap<>();
            messagePartitions
                    .all()
                    .forEach((id, partition) -> parts.put(
                            id,
                            Map.of(
                                    "phase",
                                    partition.replica().role(),
                                    "term",
                                    partition.replica().term(),
                                    "messages",
                                    partition
                                            .replica()
                                            .inspect(i ->
                                                    partition.stateMachine().count()),
                                    "liveBytes",
                                    partition
                                            .replica()
                                            .inspect(i ->
                                                    partition.stateMachine().liveBytes()),
                                    "group",
                                    partition.replica().members().keySet())));
            out.put("parts", parts);
            out.put("owned", ledPartitionCount());
            out.put("seated", !assigned().isEmpty() && notVoting().isEmpty());
            out.put("syncs", environment.wal().syncs());
            out.put("ringFilesWritten", environment.wal().filesWritten());
        });
    }
}
