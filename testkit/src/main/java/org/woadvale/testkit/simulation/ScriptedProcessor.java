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

/** One life of a processor that is pushed to: slots, a short queue, seals. docs/platform.md 5 */
final class ScriptedProcessor {
    /** What the processors of a service that dedupes share: successes by id, and who is at work. */
    static final class Table {
        private final Map<String, String> seals = new HashMap<>();
        private final Set<String> running = new HashSet<>();
    }

    private static final int QUEUE = 8;
    private final SimulatedPlatformFleet network;
    private final ObservationLog seen;
    private final String id;
    private final String service;
    private final int slots;
    private final Table table;
    private final boolean dedupes;
    private ProcessorHabits habits = ProcessorHabits.good();
    private int busy;
    private int runs;
    private boolean alive = true;

    ScriptedProcessor(
            SimulatedPlatformFleet network,
            ObservationLog seen,
            String id,
            String service,
            int slots,
            Table table,
            boolean dedupes) {
        this.network = network;
        this.seen = seen;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.table = table;
        this.dedupes = dedupes;
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    void behave(ProcessorHabits processorHabits) {
        habits = processorHabits;
    }

    /** Everything under way is gone without an answer. */
    void die() {
        alive = false;
    }

    private static String header(Request request, String name) {
        return request.headers().getOrDefault(name, "");
    }

    private Response answer(Request request, int status, boolean notRun) {
        Response response = new Response(status, Map.of("X-Attempt-Id", header(request, "x-attempt-id")), new byte[0]);
        return notRun ? response.withHeader("X-Not-Executed", "1") : response;
    }

    Mono<Response> take(Request request) {
        String message = header(request, "x-attempt-id");
        String expected = header(request, "x-expect-instance");
        boolean other = !expected.isEmpty() && !expected.equals(id);
        seen.arrived.add(new ObservationLog.Arrived(message, service, id, other, network.sim.now()));
        if (!alive) {
            return Mono.never();
        }
        if (other) {
            return Mono.just(answer(request, 421, false));
        }
        if (message.isEmpty()) {
            return Mono.just(answer(request, 400, true));
        }
        if (dedupes && table.seals.containsKey(message)) {
            return Mono.just(answer(request, 200, false).withHeader("X-Server-Seal", table.seals.get(message)));
        }
        if (dedupes && table.running.contains(message)) {
            return Mono.just(answer(request, 409, true));
        }
        if (busy >= slots + QUEUE || network.sim.chance(habits.turnsAway())) {
            return Mono.just(answer(request, 503, true));
        }
        return run(request, message);
    }

    private Mono<Response> run(Request request, String message) {
        Duration began = network.sim.now();
        Duration limit = Duration.ofMillis(Long.parseLong(header(request, "x-deadline-ms")));
        Duration work = habits.work(network.sim).plusMillis(busy >= slots ? 50 : 0);
        boolean tooLong = work.compareTo(limit) > 0;
        int outcome = tooLong ? 504 : habits.outcome(message, network.sim);
        String seal = outcome == 200 ? id + "." + runs++ : "";
        busy++;
        table.running.add(message);
        seen.began.add(new ObservationLog.Began(
                message,
                service,
                header(request, "x-tenant"),
                header(request, "x-order-key"),
                request.method(),
                request.path(),
                new String(request.body()),
                began));
        return Mono.create(sink -> network.sim.after(tooLong ? limit : work, () -> {
            busy--;
            table.running.remove(message);
            if (!alive) {
                return;
            }
            if (!seal.isEmpty()) {
                table.seals.put(message, seal);
            }
            seen.ended.add(new ObservationLog.Ended(message, outcome, seal, began, network.sim.now()));
            if (outcome > 0) {
                Response response = answer(request, outcome, false);
                sink.success(seal.isEmpty() ? response : response.withHeader("X-Server-Seal", seal));
            }
        }));
    }
}
