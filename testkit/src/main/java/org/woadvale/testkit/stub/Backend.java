package org.woadvale.testkit.stub;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.Timers;
import reactor.core.publisher.Mono;

/** Stub of a processor or an external endpoint; it remembers completed runs until it crashes. */
public final class Backend {
    /** Processing time and failure probabilities; if {@code victim} names a tenant, only its requests fail. */
    public record Behavior(
            Duration work, double refuse, double later, double loseAnswer, double breakAnswer, String victim) {
        public Behavior(Duration work, double refuse, double later, double loseAnswer) {
            this(work, refuse, later, loseAnswer, 0, "");
        }

        Behavior forTenant(String tenant) {
            return victim.isEmpty() || victim.equals(tenant) ? this : new Behavior(work, 0, 0, 0);
        }

        public static Behavior good() {
            return new Behavior(Duration.ofMillis(5), 0, 0, 0);
        }
    }

    private record Completion(int attempt, String receipt) {}

    private final String id;
    private final String service;
    private final boolean rateLimited;
    private final Observations observations;
    private final Clock clock;
    private final Timers timers;
    private final LongSupplier random;
    private final Map<String, Completion> completed = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    /** Attempts reported as unknown; they must not start later. */
    private final Set<String> fenced = new HashSet<>();

    private Behavior behavior = Behavior.good();
    private boolean memoryLost;
    private int incarnation;

    public Backend(
            String id,
            String service,
            boolean paced,
            Observations observations,
            Clock clock,
            Timers timers,
            LongSupplier random) {
        this.id = id;
        this.service = service;
        this.rateLimited = paced;
        this.observations = observations;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
    }

    public String service() {
        return service;
    }

    public boolean rateLimited() {
        return rateLimited;
    }

    public synchronized void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    /** The process crashes with its running work and restarts without memory of earlier runs. */
    public synchronized void crash() {
        incarnation++;
        running.forEach((handle, n) -> {
            for (int i = 0; i < n; i++) {
                observations.append(observations.died, new Observations.RunAborted(handle, clock.monotonicTime()));
            }
        });
        running.clear();
        completed.clear();
        fenced.clear();
        memoryLost = true;
    }

    private boolean chance(double probability) {
        return Math.floorMod(random.getAsLong(), 10000L) < probability * 10000;
    }

    public Mono<Response> answer(Request request) {
        return Mono.defer(() -> {
            if (rateLimited) {
                observations.append(
                        observations.endpoints, new Observations.RequestAtEndpoint(service, clock.monotonicTime()));
            }
            try {
                return request.method().equals("POST")
                        ? startRun(Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST))
                        : Mono.just(executionStatus(
                                request.segments().get(request.segments().size() - 1),
                                request.path().replaceAll(".*attempt=", "")));
            } catch (ServiceException failure) {
                return Mono.just(Response.of(failure));
            }
        });
    }

    private synchronized Mono<Response> startRun(JsonNode node) {
        String handle = node.path("messageId").asText();
        int attempt = node.path("attempt").asInt();
        Behavior behaviorNow = behavior.forTenant(node.path("tenant").asText());
        if (chance(behaviorNow.later()) || fenced.contains(handle + "/" + attempt)) {
            observations.append(
                    observations.turnedAway, new Observations.AttemptRejected(handle, attempt, clock.monotonicTime()));
            return Mono.just(Response.json(503, Map.of("error", "later")));
        }
        observations.append(
                observations.ran,
                new Observations.RunStarted(
                        handle,
                        node.path("callerId").asText(),
                        node.path("tenant").asText(),
                        node.path("lane").asText(),
                        node.path("orderingKey").asText(),
                        attempt,
                        id,
                        service,
                        clock.monotonicTime()));
        running.merge(handle, 1, Integer::sum);
        int startedIn = incarnation;
        Mono<Response> answer = Delays.delay(timers, behaviorNow.work())
                .flatMap(x -> finishRun(handle, attempt, behaviorNow, startedIn))
                .cache();
        // a started run continues after its caller has disconnected
        answer.subscribe(response -> {}, e -> {});
        return answer;
    }

    private synchronized Mono<Response> finishRun(String handle, int attempt, Behavior behaviorNow, int startedIn) {
        if (startedIn != incarnation) {
            return Mono.error(new OutcomeUnknownException("the processor died"));
        }
        running.merge(handle, -1, (a, b) -> a + b == 0 ? null : a + b);
        if (chance(behaviorNow.refuse())) {
            observations.append(
                    observations.answered,
                    new Observations.RunAnswered(handle, attempt, id, clock.monotonicTime(), false, ""));
            return Mono.just(Response.json(422, Map.of("error", "refused")));
        }
        String receipt = id + ":" + handle + ":" + attempt;
        completed.put(handle, new Completion(attempt, receipt));
        observations.append(
                observations.answered,
                new Observations.RunAnswered(handle, attempt, id, clock.monotonicTime(), true, receipt));
        if (chance(behaviorNow.loseAnswer())) {
            return Mono.error(new OutcomeUnknownException("the answer is lost"));
        }
        if (chance(behaviorNow.breakAnswer())) {
            return Mono.just(Response.json(chance(0.5) ? 500 : 502, Map.of("error", "something broke after the work")));
        }
        return Mono.just(Response.json(200, statusBody(handle, "done", attempt, receipt)));
    }

    private static Map<String, Object> statusBody(String handle, String state, int attempt, String receipt) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("messageId", handle);
        body.put("state", state);
        body.put("attempt", attempt);
        body.put("receipt", receipt);
        return body;
    }

    /**
     * The answer "unknown" promises that this attempt does not start later. A processor that lost its memory cannot
     * promise that.
     */
    private synchronized Response executionStatus(String handle, String attempt) {
        if (completed.containsKey(handle)) {
            return Response.json(
                    200,
                    statusBody(
                            handle,
                            "done",
                            completed.get(handle).attempt(),
                            completed.get(handle).receipt()));
        }
        if (running.containsKey(handle)) {
            return Response.json(200, statusBody(handle, "running", 0, ""));
        }
        if (memoryLost) {
            return Response.json(410, statusBody(handle, "unsure", 0, ""));
        }
        fenced.add(handle + "/" + attempt);
        return Response.json(404, statusBody(handle, "unknown", 0, ""));
    }
}
