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
 * What this node's own asks tell of stores and partitions; only for draws, never for what is true. (docs/design.md,
 * section 9.13)
 */
final class StoreHealth {
    private static final Duration FAILURE_MEMORY = Duration.ofMillis(1500);
    private static final Duration UNHEALTHY_AFTER = Duration.ofSeconds(1);
    /** An ask that is open for longer shows that the store may be gone. */
    private static final Duration SILENT_AFTER = Duration.ofMillis(80);

    private final NodeEnvironment environment;
    private final AtomicLong ids = new AtomicLong();
    private final Map<String, Duration> failures = new ConcurrentHashMap<>();
    private final Map<String, Duration> slowSince = new ConcurrentHashMap<>();
    private final Map<String, Map<Long, Duration>> inFlight = new ConcurrentHashMap<>();

    StoreHealth(NodeEnvironment environment) {
        this.environment = environment;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /** Counts the ask as open until it ends. */
    <T> Mono<T> tracked(String store, Mono<T> request) {
        return Mono.defer(() -> {
            long id = ids.incrementAndGet();
            Map<Long, Duration> here = inFlight.computeIfAbsent(store, s -> new ConcurrentHashMap<>());
            here.put(id, now());
            return request.doFinally(signal -> here.remove(id));
        });
    }

    void onFailure(String partition, String store, ServiceException failure) {
        if (failure.kind() == ErrorKind.UNREACHABLE || failure.kind() == ErrorKind.UNKNOWN_OUTCOME) {
            slowSince.put(store, now().plus(UNHEALTHY_AFTER));
        }
        boolean redirected = failure instanceof NotLeaderException notLeader
                && notLeader.leader().isPresent();
        if (!redirected) {
            failures.put(partition, now().plus(FAILURE_MEMORY));
        }
    }

    void onSuccess(String partition, String store) {
        failures.remove(partition);
        slowSince.remove(store);
    }

    boolean isUnhealthy(String store) {
        return now().compareTo(slowSince.getOrDefault(store, Duration.ZERO)) < 0;
    }

    boolean hasFailed(String partition) {
        return now().compareTo(failures.getOrDefault(partition, Duration.ZERO)) < 0;
    }

    boolean isUnresponsive(String store) {
        Duration limit = now().minus(SILENT_AFTER);
        return isUnhealthy(store)
                || inFlight.getOrDefault(store, Map.of()).values().stream().anyMatch(t -> t.compareTo(limit) < 0);
    }
}
