package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/** What this node's own asks tell of stores and parts; only for draws, never for what is true. design 9.13 */
final class StoreHealth {
    private static final Duration TROUBLE = Duration.ofMillis(1500);
    private static final Duration AILING = Duration.ofSeconds(1);
    /** An ask that is open for longer shows that the store may be gone. */
    private static final Duration SILENT = Duration.ofMillis(80);

    private final Env env;
    private final AtomicLong ids = new AtomicLong();
    private final Map<String, Duration> troubles = new ConcurrentHashMap<>();
    private final Map<String, Duration> ailing = new ConcurrentHashMap<>();
    private final Map<String, Map<Long, Duration>> open = new ConcurrentHashMap<>();

    StoreHealth(Env env) {
        this.env = env;
    }

    private Duration now() {
        return env.times().mono();
    }

    /** Counts the ask as open until it ends. */
    <T> Mono<T> watched(String store, Mono<T> ask) {
        return Mono.defer(() -> {
            long id = ids.incrementAndGet();
            Map<Long, Duration> here = open.computeIfAbsent(store, s -> new ConcurrentHashMap<>());
            here.put(id, now());
            return ask.doFinally(s -> here.remove(id));
        });
    }

    void failed(String part, String store, ServiceException f) {
        if (f.kind() == ErrorKind.UNREACHABLE || f.kind() == ErrorKind.UNKNOWN_OUTCOME) {
            ailing.put(store, now().plus(AILING));
        }
        if (f.kind() != ErrorKind.NOT_OWNER || f.details().isEmpty()) {
            troubles.put(part, now().plus(TROUBLE));
        }
    }

    void well(String part, String store) {
        troubles.remove(part);
        ailing.remove(store);
    }

    boolean ailing(String store) {
        return now().compareTo(ailing.getOrDefault(store, Duration.ZERO)) < 0;
    }

    boolean troubled(String part) {
        return now().compareTo(troubles.getOrDefault(part, Duration.ZERO)) < 0;
    }

    boolean silent(String store) {
        Duration limit = now().minus(SILENT);
        return ailing(store)
                || open.getOrDefault(store, Map.of()).values().stream().anyMatch(t -> t.compareTo(limit) < 0);
    }
}
