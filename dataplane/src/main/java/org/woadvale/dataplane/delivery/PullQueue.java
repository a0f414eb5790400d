package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.dataplane.queue.MessageCommands.LongPullRequest;
import org.woadvale.dataplane.queue.MessageCommands.LongPullResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The long pulls that wait for work, by service, in the order of their arrival. Thread-safe. */
final class PullQueue {
    /** The maximum number of waiting pulls of one service; further ones are refused. */
    static final int MAX_WAITING_PER_SERVICE = 4096;

    /** One waiting pull; it expires at the given monotonic time. */
    record WaitingPull(LongPullRequest request, Duration expiresAt, Sinks.One<LongPullResponse> response) {
        Mono<LongPullResponse> awaitResponse() {
            return response.asMono();
        }

        void respond(LongPullResponse pullResponse) {
            response.tryEmitValue(pullResponse);
        }
    }

    private final String zone;
    private final Map<String, Deque<WaitingPull>> waitingByService = new HashMap<>();

    /** Pulls that came from the given zone are taken first. */
    PullQueue(String zone) {
        this.zone = zone;
    }

    /** Adds a pull that arrived now; empty if too many of its service wait already. */
    synchronized Optional<WaitingPull> add(LongPullRequest request, Duration now) {
        Deque<WaitingPull> queue = waitingByService.computeIfAbsent(request.service(), s -> new ArrayDeque<>());
        if (queue.size() >= MAX_WAITING_PER_SERVICE) {
            return Optional.empty();
        }
        WaitingPull pull = new WaitingPull(request, now.plusMillis(request.waitMs()), Sinks.one());
        queue.add(pull);
        return Optional.of(pull);
    }

    /** Removes the next pull of the service: the oldest one from this zone, else the oldest one. */
    synchronized Optional<WaitingPull> take(String service) {
        Deque<WaitingPull> queue = waitingByService.getOrDefault(service, new ArrayDeque<>());
        Optional<WaitingPull> sameZone = queue.stream()
                .filter(pull -> pull.request().zone().equals(zone))
                .findFirst();
        sameZone.ifPresent(queue::remove);
        return sameZone.or(() -> Optional.ofNullable(queue.poll()));
    }

    /** Puts a pull back that was taken but got no message; it is the first of its service again. */
    synchronized void putBack(WaitingPull pull) {
        waitingByService
                .computeIfAbsent(pull.request().service(), s -> new ArrayDeque<>())
                .addFirst(pull);
    }

    /** Removes and returns the pulls whose wait is over at the given time. */
    synchronized List<WaitingPull> removeExpired(Duration now) {
        List<WaitingPull> expired = new ArrayList<>();
        for (Deque<WaitingPull> queue : waitingByService.values()) {
            queue.removeIf(pull -> now.compareTo(pull.expiresAt()) >= 0 && expired.add(pull));
        }
        waitingByService.values().removeIf(Deque::isEmpty);
        return expired;
    }

    /** The services that pulls wait for, in the order of their names. */
    synchronized Set<String> services() {
        return new TreeSet<>(waitingByService.keySet());
    }

    /** How many pulls of the service wait. */
    synchronized int count(String service) {
        return Optional.ofNullable(waitingByService.get(service))
                .map(Deque::size)
                .orElse(0);
    }
}
