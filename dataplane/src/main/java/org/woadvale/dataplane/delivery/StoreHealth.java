package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.NodeEnvironment;
import reactor.core.publisher.Mono;

/**
 * The health of stores and partitions as seen by the requests of this node. It only guides the choice among them;
 * correctness does not depend on it. (docs/design.md, section 9.13)
 */
final class StoreHealth {
    private static final Duration PARTITION_FAILURE_MEMORY = Duration.ofMillis(1500);
    private static final Duration STORE_FAILURE_MEMORY = Duration.ofSeconds(1);
    /** A request in flight for longer than this indicates that the store may be down. */
    private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(80);

    private final NodeEnvironment environment;
    private final AtomicLong lastId = new AtomicLong();
    private final Map<String, Duration> partitionFailedUntil = new ConcurrentHashMap<>();
    private final Map<String, Duration> storeUnhealthyUntil = new ConcurrentHashMap<>();
    private final Map<String, Map<Long, Duration>> inFlight = new ConcurrentHashMap<>();

    StoreHealth(NodeEnvironment environment) {
        this.environment = environment;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /** Counts the request as in flight until it ends. */
    <T> Mono<T> tracked(String store, Mono<T> request) {
        return Mono.defer(() -> {
            long id = lastId.incrementAndGet();
            Map<Long, Duration> ofStore = inFlight.computeIfAbsent(store, s -> new ConcurrentHashMap<>());
            ofStore.put(id, now());
            return request.doFinally(signal -> ofStore.remove(id));
        });
    }

    void onFailure(String partition, String store, ServiceException failure) {
        if (failure.kind() == ErrorKind.UNREACHABLE || failure.kind() == ErrorKind.UNKNOWN_OUTCOME) {
            storeUnhealthyUntil.put(store, now().plus(STORE_FAILURE_MEMORY));
        }
        boolean redirected = failure instanceof NotLeaderException notLeader
                && notLeader.leader().isPresent();
        if (!redirected) {
            partitionFailedUntil.put(partition, now().plus(PARTITION_FAILURE_MEMORY));
        }
    }

    void onSuccess(String partition, String store) {
        partitionFailedUntil.remove(partition);
        storeUnhealthyUntil.remove(store);
    }

    boolean isUnhealthy(String store) {
        return now().compareTo(storeUnhealthyUntil.getOrDefault(store, Duration.ZERO)) < 0;
    }

    boolean hasFailed(String partition) {
        return now().compareTo(partitionFailedUntil.getOrDefault(partition, Duration.ZERO)) < 0;
    }

    boolean isUnresponsive(String store) {
        Duration limit = now().minus(UNRESPONSIVE_AFTER);
        return isUnhealthy(store)
                || inFlight.getOrDefault(store, Map.of()).values().stream()
                        .anyMatch(sentAt -> sentAt.compareTo(limit) < 0);
    }
}
