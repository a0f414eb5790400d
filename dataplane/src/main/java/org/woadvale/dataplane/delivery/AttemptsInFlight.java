package org.woadvale.dataplane.delivery;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Mono;

/**
 * The attempts that this node has begun in one partition and whose outcomes are not recorded yet. While an attempt is
 * here, this node may still learn its outcome; it may have lost the leadership meanwhile.
 */
final class AttemptsInFlight {
    private final Map<String, Integer> attemptsByHandle = new ConcurrentHashMap<>();

    boolean isEmpty() {
        return attemptsByHandle.isEmpty();
    }

    boolean contains(String handle, int attempt) {
        return attemptsByHandle.getOrDefault(handle, 0) == attempt;
    }

    /** Counts an attempt in flight from the subscription until the work has ended in any way. */
    <T> Mono<T> track(String handle, int attempt, Mono<T> work) {
        return Mono.defer(() -> {
            attemptsByHandle.put(handle, attempt);
            return work.doFinally(signal -> attemptsByHandle.remove(handle, attempt));
        });
    }
}
