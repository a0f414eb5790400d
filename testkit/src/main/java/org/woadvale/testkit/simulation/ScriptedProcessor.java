package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ObservationLog;
import reactor.core.publisher.Mono;

/**
 * One instance of a processor to which jobs are pushed, with slots, a short queue and seals (docs/platform.md, section
 * 5).
 */
final class ScriptedProcessor {
    /**
     * State shared by the processors of a service that deduplicates: the seals of successful runs and the running ids.
     */
    static final class DeduplicationTable {
        private final Map<String, String> seals = new HashMap<>();
        private final Set<String> running = new HashSet<>();
    }

    private static final int QUEUE_CAPACITY = 8;
    private final SimulatedPlatformFleet network;
    private final ObservationLog observations;
    private final String id;
    private final String service;
    private final int slots;
    private final DeduplicationTable deduplication;
    private final boolean dedupes;
    private ProcessorBehavior behavior = ProcessorBehavior.reliable();
    private int activeRuns;
    private int runs;
    private boolean alive = true;

    ScriptedProcessor(
            SimulatedPlatformFleet network,
            ObservationLog observations,
            String id,
            String service,
            int slots,
            DeduplicationTable deduplication,
            boolean dedupes) {
        this.network = network;
        this.observations = observations;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.deduplication = deduplication;
        this.dedupes = dedupes;
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    void behave(ProcessorBehavior newBehavior) {
        behavior = newBehavior;
    }

    /** Stops the instance; running jobs are lost without an answer. */
    void crash() {
        alive = false;
    }

    private static String header(Request request, String name) {
        return request.headers().getOrDefault(name, "");
    }

    private Response answer(Request request, int status, boolean notExecuted) {
        Response response = new Response(status, Map.of("X-Attempt-Id", header(request, "x-attempt-id")), new byte[0]);
        return notExecuted ? response.withHeader("X-Not-Executed", "1") : response;
    }

    Mono<Response> handle(Request request) {
        String message = header(request, "x-attempt-id");
        String expected = header(request, "x-expect-instance");
        boolean otherInstance = !expected.isEmpty() && !expected.equals(id);
        observations.arrived.add(new ObservationLog.Arrived(message, service, id, otherInstance, network.sim.now()));
        if (!alive) {
            return Mono.never();
        }
        if (otherInstance) {
            return Mono.just(answer(request, 421, false));
        }
        if (message.isEmpty()) {
            return Mono.just(answer(request, 400, true));
        }
        if (dedupes && deduplication.seals.containsKey(message)) {
            return Mono.just(answer(request, 200, false).withHeader("X-Server-Seal", deduplication.seals.get(message)));
        }
        if (dedupes && deduplication.running.contains(message)) {
            return Mono.just(answer(request, 409, true));
        }
        if (activeRuns >= slots + QUEUE_CAPACITY || network.sim.chance(behavior.rejectionProbability())) {
            return Mono.just(answer(request, 503, true));
        }
        return run(request, message);
    }

    private Mono<Response> run(Request request, String message) {
        Duration started = network.sim.now();
        Duration limit = Duration.ofMillis(Long.parseLong(header(request, "x-deadline-ms")));
        Duration work = behavior.workDuration(network.sim).plusMillis(activeRuns >= slots ? 50 : 0);
        boolean tooLong = work.compareTo(limit) > 0;
        int outcome = tooLong ? 504 : behavior.outcome(message, network.sim);
        String seal = outcome == 200 ? id + "." + runs++ : "";
        activeRuns++;
        deduplication.running.add(message);
        observations.began.add(new ObservationLog.Began(
                message,
                service,
                header(request, "x-tenant"),
                header(request, "x-order-key"),
                request.method(),
                request.path(),
                new String(request.body()),
                started));
        return Mono.create(sink -> network.sim.after(tooLong ? limit : work, () -> {
            activeRuns--;
            deduplication.running.remove(message);
            if (!alive) {
                return;
            }
            if (!seal.isEmpty()) {
                deduplication.seals.put(message, seal);
            }
            observations.ended.add(new ObservationLog.Ended(message, outcome, seal, started, network.sim.now()));
            if (outcome > 0) {
                Response response = answer(request, outcome, false);
                sink.success(seal.isEmpty() ? response : response.withHeader("X-Server-Seal", seal));
            }
        }));
    }
}
