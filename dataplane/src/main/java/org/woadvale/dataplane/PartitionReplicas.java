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
 * The replicas of message partitions on this store: which of them vote and which lead (docs/design.md, section 6.5).
 * Empty on a node without the store role.
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

    /** Returns the group members of each message partition on this store. */
    Map<String, Set<String>> groups() {
        Map<String, Set<String>> result = new TreeMap<>();
        partitions.ifPresent(messagePartitions -> messagePartitions
                .all()
                .forEach((id, partition) ->
                        result.put(id, partition.replica().members().keySet())));
        return result;
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

    /** Returns the partitions that the placement assigns to this store and in which it does not vote yet. */
    List<String> notVoting() {
        Map<String, Set<String>> groups = groups();
        return assigned().stream()
                .filter(id -> !groups.getOrDefault(id, Set.of()).contains(environment.self()))
                .toList();
    }

    /** Returns the state of the groups that this store leads. */
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

    /** Whether this store is a member of no group, as far as it knows. */
    boolean inNoGroup() {
        return groups().values().stream().noneMatch(group -> group.contains(environment.self()));
    }

    /** Whether each replica on this store votes in its group under its present identity. */
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

    long term(String partitionId) {
        return partitions
                .map(messagePartitions -> messagePartitions.all().get(partitionId))
                .map(partition -> partition.replica().term())
                .orElse(0L);
    }

    void status(Map<String, Object> result) {
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
            result.put("parts", parts);
            result.put("owned", ledPartitionCount());
            result.put("seated", !assigned().isEmpty() && notVoting().isEmpty());
            result.put("syncs", environment.wal().syncs());
            result.put("ringFilesWritten", environment.wal().filesWritten());
        });
    }
}
