package org.woadvale.testkit.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Stand-in for a processor that fetches: repeats a fetch under its id, and each outcome until it is confirmed. */
public final class Fetcher {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private final SimulatedFleet fleet;
    private final String id;
    private final String service;
    private final Set<String> runningHandles = new HashSet<>();
    private String secret;
    private Duration work = Duration.ofMillis(20);
    private double answerLoss;
    private int incarnation;
    private int fetchCount;

    Fetcher(SimulatedFleet fleet, String id, String service) {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.secret = TestConfiguration.fetchKey(service);
    }

    void useSecret(String group, String newSecret) {
        secret = group.equals(service) ? newSecret : secret;
    }

    public void behave(Duration newWork, double newAnswerLoss) {
        work = newWork;
        answerLoss = newAnswerLoss;
    }

    /** The process crashes, and its running executions do not complete. */
    public void crash() {
        incarnation++;
        runningHandles.forEach(handle -> fleet.observations.append(
                fleet.observations.died, new Observations.RunAborted(handle, fleet.sim.now())));
        runningHandles.clear();
    }

    void crashAndReturn() {
        crash();
        fleet.sim.after(RETRY_DELAY, this::start);
    }

    public Fetcher start() {
        fetchCount++;
        fetch(id + "-" + incarnation + "-" + fetchCount, false, incarnation);
        return this;
    }

    private String anyIntake() {
        return fleet.intakes.get(fleet.sim.random().nextInt(fleet.intakes.size()));
    }

    private Request post(String path, Map<String, Object> body) {
        return new Request("POST", path, Map.of("authorization", "Bearer " + secret), Configurations.write(body));
    }

    private void fetch(String fetchId, boolean repeated, int startedIn) {
        if (incarnation != startedIn) {
            return;
        }
        Request request = post(
                "/v1/services/" + service + "/fetch",
                Map.of("processor", id, "waitMs", 500, "most", 2, "fetch", fetchId, "again", repeated));
        String usedSecret = secret;
        fleet.request(anyIntake(), request, Duration.ofSeconds(3), response -> {
            recordServed(response, usedSecret, "fetch");
            if (incarnation != startedIn) {
                return;
            }
            if (response.isEmpty() || response.get().status() >= 500 || fleet.sim.chance(answerLoss)) {
                fleet.sim.after(RETRY_DELAY, () -> fetch(fetchId, true, startedIn));
                return;
            }
            JsonNode messages = Callers.json(response.get()).path("messages");
            messages.forEach(message -> run(message, startedIn));
            fleet.sim.after(messages.size() == 0 ? RETRY_DELAY : work, () -> {
                if (incarnation == startedIn) {
                    start();
                }
            });
        });
    }

    private void recordServed(Optional<Response> response, String usedSecret, String request) {
        if (response.isPresent() && response.get().status() == 200) {
            fleet.observations.append(
                    fleet.observations.served, new Observations.RequestServed(usedSecret, request, fleet.sim.now()));
        }
    }

    private void run(JsonNode message, int startedIn) {
        String handle = message.path("messageId").asText();
        int attempt = message.path("attempt").asInt();
        fleet.observations.append(
                fleet.observations.ran,
                new Observations.RunStarted(
                        handle,
                        message.path("callerId").asText(),
                        message.path("tenant").asText(),
                        message.path("lane").asText(),
                        message.path("orderingKey").asText(),
                        attempt,
                        id,
                        service,
                        fleet.sim.now()));
        runningHandles.add(handle);
        fleet.sim.after(work, () -> {
            if (incarnation == startedIn) {
                String receipt = id + ":" + handle + ":" + attempt;
                runningHandles.remove(handle);
                fleet.observations.append(
                        fleet.observations.answered,
                        new Observations.RunAnswered(handle, attempt, id, fleet.sim.now(), true, receipt));
                report(handle, attempt, receipt, startedIn);
            }
        });
    }

    private void report(String handle, int attempt, String receipt, int startedIn) {
        if (incarnation != startedIn) {
            return;
        }
        Request request = post(
                "/v1/messages/" + handle + "/outcome",
                Map.of("processor", id, "attempt", attempt, "outcome", "done", "receipt", receipt));
        String usedSecret = secret;
        fleet.request(anyIntake(), request, Duration.ofSeconds(4), response -> {
            recordServed(response, usedSecret, "outcome");
            boolean confirmed = response.isPresent()
                    && List.of(200, 404).contains(response.get().status());
            if (!confirmed) {
                fleet.sim.after(RETRY_DELAY, () -> report(handle, attempt, receipt, startedIn));
            }
        });
    }
}
