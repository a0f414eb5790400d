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

/** Stand-in for a processor or an outside endpoint; remembers what it did, unless told to forget. */
public final class Backend {
    /** How it behaves from now on; a victim's name makes the failures that tenant's own. */
    public record Manner(
            Duration work, double refuse, double later, double loseAnswer, double breakAnswer, String victim) {
        public Manner(Duration work, double refuse, double later, double loseAnswer) {
            this(work, refuse, later, loseAnswer, 0, "");
        }

        Manner towards(String tenant) {
            return victim.isEmpty() || victim.equals(tenant) ? this : new Manner(work, 0, 0, 0);
        }

        public static Manner good() {
            return new Manner(Duration.ofMillis(5), 0, 0, 0);
        }
    }

    private record Done(int attempt, String receipt) {}

    private final String id;
    private final String service;
    private final boolean paced;
    private final Observations observations;
    private final Clock clock;
    private final Timers timers;
    private final LongSupplier random;
    private final Map<String, Done> done = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    /** Attempts that it said it does not know: they must not begin later. */
    private final Set<String> fenced = new HashSet<>();

    private Manner manner = Manner.good();
    private boolean forgetful;
    private int life;

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
        this.paced = paced;
        this.observations = observations;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
    }

    public String service() {
        return service;
    }

    public boolean paced() {
        return paced;
    }

    public synchronized void behave(Manner m) {
        manner = m;
    }

    /** The process dies with all it was doing, and comes back without memory of what it did before. */
    public synchronized void crash() {
        life++;
        running.forEach((handle, n) -> {
            for (int i = 0; i < n; i++) {
                observations.saw(observations.died, new Observations.Died(handle, clock.monotonicTime()));
            }
        });
        running.clear();
        done.clear();
        fenced.clear();
        forgetful = true;
    }

    private boolean luck(double p) {
        return Math.floorMod(random.getAsLong(), 10000L) < p * 10000;
    }

    public Mono<Response> answer(Request request) {
        return Mono.defer(() -> {
            if (paced) {
                observations.saw(
                        observations.endpoints, new Observations.RequestAtEndpoint(service, clock.monotonicTime()));
            }
            try {
                return request.method().equals("POST")
                        ? work(Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST))
                        : Mono.just(told(
                                request.segments().get(request.segments().size() - 1),
                                request.path().replaceAll(".*attempt=", "")));
            } catch (ServiceException failure) {
                return Mono.just(Response.of(failure));
            }
        });
    }

    private synchronized Mono<Response> work(JsonNode node) {
        String handle = node.path("messageId").asText();
        int attempt = node.path("attempt").asInt();
        Manner now = manner.towards(node.path("tenant").asText());
        if (luck(now.later()) || fenced.contains(handle + "/" + attempt)) {
            observations.saw(
                    observations.turnedAway, new Observations.TurnedAway(handle, attempt, clock.monotonicTime()));
            return Mono.just(Response.json(503, Map.of("error", "later")));
        }
        observations.saw(
                observations.ran,
                new Observations.Ran(
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
        int begunIn = life;
        Mono<Response> answer = Delays.delay(timers, now.work())
                .flatMap(x -> worked(handle, attempt, now, begunIn))
                .cache();
        // once begun, the work goes on though whoever asked for it has gone
        answer.subscribe(response -> {}, e -> {});
        return answer;
    }

    private synchronized Mono<Response> worked(String handle, int attempt, Manner now, int begunIn) {
        if (begunIn != life) {
            return Mono.error(new OutcomeUnknownException("the processor died"));
        }
        running.merge(handle, -1, (a, b) -> a + b == 0 ? null : a + b);
        if (luck(now.refuse())) {
            observations.saw(
                    observations.answered,
                    new Observations.Answered(handle, attempt, id, clock.monotonicTime(), false, ""));
            return Mono.just(Response.json(422, Map.of("error", "refused")));
        }
        String receipt = id + ":" + handle + ":" + attempt;
        done.put(handle, new Done(attempt, receipt));
        observations.saw(
                observations.answered,
                new Observations.Answered(handle, attempt, id, clock.monotonicTime(), true, receipt));
        if (luck(now.loseAnswer())) {
            return Mono.error(new OutcomeUnknownException("the answer is lost"));
        }
        if (luck(now.breakAnswer())) {
            return Mono.just(Response.json(luck(0.5) ? 500 : 502, Map.of("error", "something broke after the work")));
        }
        return Mono.just(Response.json(200, shown(handle, "done", attempt, receipt)));
    }

    private static Map<String, Object> shown(String handle, String state, int attempt, String receipt) {
        Map<String, Object> b = new LinkedHashMap<>();
        b.put("messageId", handle);
        b.put("state", state);
        b.put("attempt", attempt);
        b.put("receipt", receipt);
        return b;
    }

    /** "Not known" is a promise that this attempt does not begin later; one without memory cannot give it. */
    private synchronized Response told(String handle, String attempt) {
        if (done.containsKey(handle)) {
            return Response.json(
                    200,
                    shown(
                            handle,
                            "done",
                            done.get(handle).attempt(),
                            done.get(handle).receipt()));
        }
        if (running.containsKey(handle)) {
            return Response.json(200, shown(handle, "running", 0, ""));
        }
        if (forgetful) {
            return Response.json(410, shown(handle, "unsure", 0, ""));
        }
        fenced.add(handle + "/" + attempt);
        return Response.json(404, shown(handle, "unknown", 0, ""));
    }
}
