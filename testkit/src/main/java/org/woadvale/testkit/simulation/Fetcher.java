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
    private final World w;
    private final String id;
    private final String service;
    private final Set<String> mine = new HashSet<>();
    private String secret;
    private Duration work = Duration.ofMillis(20);
    private double loseAnswer;
    private int life;
    private int fetches;

    Fetcher(World w, String id, String service) {
        this.w = w;
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
        mine.forEach(h -> w.seen.saw(w.seen.died, new Observations.Died(h, w.sim.now())));
        mine.clear();
    }

    void crashAndReturn() {
        crash();
        w.sim.after(AGAIN, this::start);
    }

    public Fetcher start() {
        fetches++;
        ask(id + "-" + life + "-" + fetches, false, life);
        return this;
    }

    private String any() {
        return w.intakes.get(w.sim.random().nextInt(w.intakes.size()));
    }

    private Request post(String path, Map<String, Object> body) {
        return new Request("POST", path, Map.of("authorization", "Bearer " + secret), Configurations.write(body));
    }

    private void ask(String fetch, boolean again, int bornIn) {
        if (life != bornIn) {
            return;
        }
        Request q = post(
                "/v1/services/" + service + "/fetch",
                Map.of("processor", id, "waitMs", 500, "most", 2, "fetch", fetch, "again", again));
        String used = secret;
        w.request(any(), q, Duration.ofSeconds(3), a -> {
            served(a, used, "fetch");
            if (life != bornIn) {
                return;
            }
            if (a.isEmpty() || a.get().status() >= 500 || w.sim.luck(loseAnswer)) {
                w.sim.after(AGAIN, () -> ask(fetch, true, bornIn));
                return;
            }
            JsonNode got = Callers.json(a.get()).path("messages");
            got.forEach(m -> run(m, bornIn));
            w.sim.after(got.size() == 0 ? AGAIN : work, () -> {
                if (life == bornIn) {
                    start();
                }
            });
        });
    }

    private void served(Optional<Response> a, String used, String what) {
        if (a.isPresent() && a.get().status() == 200) {
            w.seen.saw(w.seen.served, new Observations.KeyServed(used, what, w.sim.now()));
        }
    }

    private void run(JsonNode m, int bornIn) {
        String handle = m.path("messageId").asText();
        int attempt = m.path("attempt").asInt();
        w.seen.saw(
                w.seen.ran,
                new Observations.Ran(
                        handle,
                        m.path("callerId").asText(),
                        m.path("tenant").asText(),
                        m.path("lane").asText(),
                        m.path("orderingKey").asText(),
                        attempt,
                        id,
                        service,
                        w.sim.now()));
        mine.add(handle);
        w.sim.after(work, () -> {
            if (life == bornIn) {
                String receipt = id + ":" + handle + ":" + attempt;
                mine.remove(handle);
                w.seen.saw(w.seen.answered, new Observations.Answered(handle, attempt, id, w.sim.now(), true, receipt));
                report(handle, attempt, receipt, bornIn);
            }
        });
    }

    private void report(String handle, int attempt, String receipt, int bornIn) {
        if (life != bornIn) {
            return;
        }
        Request q = post(
                "/v1/messages/" + handle + "/outcome",
                Map.of("processor", id, "attempt", attempt, "outcome", "done", "receipt", receipt));
        String used = secret;
        w.request(any(), q, Duration.ofSeconds(4), a -> {
            served(a, used, "outcome");
            boolean clear = a.isPresent() && List.of(200, 404).contains(a.get().status());
            if (!clear) {
                w.sim.after(AGAIN, () -> report(handle, attempt, receipt, bornIn));
            }
        });
    }
}
