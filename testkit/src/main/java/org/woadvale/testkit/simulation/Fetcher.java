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

/** Stand-in for a processor that fetches: asks again under the same fetch id, repeats each outcome until confirmed. */
public final class Fetcher {
    private static final Duration AGAIN = Duration.ofMillis(200);
    private final SimulatedFleet fleet;
    private final String id;
    private final String service;
    private final Set<String> mine = new HashSet<>();
    private String secret;
    private Duration work = Duration.ofMillis(20);
    private double loseAnswer;
    private int life;
    private int fetches;

    Fetcher(SimulatedFleet fleet, String id, String service) {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.secret = TestConfiguration.fetchKey(service);
    }

    void use(String group, String newSecret) {
        secret = group.equals(service) ? newSecret : secret;
    }

    public void behave(Duration newWork, double newLoseAnswer) {
        work = newWork;
        loseAnswer = newLoseAnswer;
    }

    /** The process dies; what it was doing is not done. */
    public void crash() {
        life++;
        mine.forEach(h -> fleet.seen.saw(fleet.seen.died, new Observations.Died(h, fleet.sim.now())));
        mine.clear();
    }

    void crashAndReturn() {
        crash();
        fleet.sim.after(AGAIN, this::start);
    }

    public Fetcher start() {
        fetches++;
        ask(id + "-" + life + "-" + fetches, false, life);
        return this;
    }

    private String any() {
        return fleet.intakes.get(fleet.sim.random().nextInt(fleet.intakes.size()));
    }

    private Request post(String path, Map<String, Object> body) {
        return new Request("POST", path, Map.of("authorization", "Bearer " + secret), Configurations.write(body));
    }

    private void ask(String fetch, boolean again, int bornIn) {
        if (life != bornIn) {
            return;
        }
        Request request = post(
                "/v1/services/" + service + "/fetch",
                Map.of("processor", id, "waitMs", 500, "most", 2, "fetch", fetch, "again", again));
        String used = secret;
        fleet.request(any(), request, Duration.ofSeconds(3), response -> {
            served(response, used, "fetch");
            if (life != bornIn) {
                return;
            }
            if (response.isEmpty() || response.get().status() >= 500 || fleet.sim.chance(loseAnswer)) {
                fleet.sim.after(AGAIN, () -> ask(fetch, true, bornIn));
                return;
            }
            JsonNode got = Callers.json(response.get()).path("messages");
            got.forEach(node -> run(node, bornIn));
            fleet.sim.after(got.size() == 0 ? AGAIN : work, () -> {
                if (life == bornIn) {
                    start();
                }
            });
        });
    }

    private void served(Optional<Response> response, String used, String what) {
        if (response.isPresent() && response.get().status() == 200) {
            fleet.seen.saw(fleet.seen.served, new Observations.KeyServed(used, what, fleet.sim.now()));
        }
    }

    private void run(JsonNode node, int bornIn) {
        String handle = node.path("messageId").asText();
        int attempt = node.path("attempt").asInt();
        fleet.seen.saw(
                fleet.seen.ran,
                new Observations.Ran(
                        handle,
                        node.path("callerId").asText(),
                        node.path("tenant").asText(),
                        node.path("lane").asText(),
                        node.path("orderingKey").asText(),
                        attempt,
                        id,
                        service,
                        fleet.sim.now()));
        mine.add(handle);
        fleet.sim.after(work, () -> {
            if (life == bornIn) {
                String receipt = id + ":" + handle + ":" + attempt;
                mine.remove(handle);
                fleet.seen.saw(
                        fleet.seen.answered,
                        new Observations.Answered(handle, attempt, id, fleet.sim.now(), true, receipt));
                report(handle, attempt, receipt, bornIn);
            }
        });
    }

    private void report(String handle, int attempt, String receipt, int bornIn) {
        if (life != bornIn) {
            return;
        }
        Request request = post(
                "/v1/messages/" + handle + "/outcome",
                Map.of("processor", id, "attempt", attempt, "outcome", "done", "receipt", receipt));
        String used = secret;
        fleet.request(any(), request, Duration.ofSeconds(4), response -> {
            served(response, used, "outcome");
            boolean clear = response.isPresent()
                    && List.of(200, 404).contains(response.get().status());
            if (!clear) {
                fleet.sim.after(AGAIN, () -> report(handle, attempt, receipt, bornIn));
            }
        });
    }
}
