package org.woadvale.testkit.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Callers of a simulated fleet: they processor in, ask again while they do not know, and ask what became of it. */
public class Callers {
    private static final Duration REMEMBERED = Duration.ofSeconds(90);
    public final SimulatedFleet w;
    private final Map<String, Integer> owners = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private long ids;
    private boolean trafficOn;

    Callers(SimulatedFleet fleet) {
        this.w = fleet;
    }

    /** Traffic of a rate in messages a second, until told to stop. */
    public void traffic(double perSecond) {
        trafficOn = true;
        next(perSecond);
    }

    public void calm() {
        trafficOn = false;
    }

    private void next(double perSecond) {
        w.sim.after(Duration.ofNanos((long) (-Math.log(1 - w.sim.random().nextDouble()) / perSecond * 1e9)), () -> {
            if (trafficOn) {
                one(w.sim.random().nextInt(w.testConfiguration.tenants()));
                next(perSecond);
            }
        });
    }

    public void one(int tenant) {
        List<String> lanes = w.testConfiguration.lanes();
        String lane = w.sim.chance(0.4) ? "accept" : lanes.get(w.sim.random().nextInt(lanes.size()));
        String order = lane.equals("accept") ? "applicant" + w.sim.random().nextInt(6) : "";
        Map<String, Object> body = new LinkedHashMap<>();
        String id = "c" + ids++;
        body.put("id", id);
        if (!order.isEmpty()) {
            body.put("orderingKey", order);
        }
        body.put("delayMs", w.sim.chance(0.1) ? 1000 : 0);
        body.put("body", Map.of("text", "x".repeat(300)));
        submit(tenant, id, lane, order, Configurations.write(body), w.intakes, 5);
    }

    /** A message of the lane without ordering. */
    public void plain(int tenant) {
        plainAt(tenant, w.intakes);
    }

    public void plainAt(int tenant, List<String> intakes) {
        String id = "c" + ids++;
        submit(
                tenant,
                id,
                "hold",
                "",
                Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of("n", 1))),
                intakes,
                5);
    }

    /** A message for an outside endpoint. */
    public void check(int endpoint) {
        String id = "c" + ids++;
        submit(
                (int) (ids % w.testConfiguration.tenants()),
                id,
                "check" + endpoint,
                "",
                Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of("n", 1))),
                w.intakes,
                5);
    }

    /** Messages whose submission was never answered, but whose run was seen; older ones may be forgotten by now. */
    public void followWhatRan() {
        Duration from = w.sim.now().minus(REMEMBERED);
        w.seen.copy(w.seen.ran).stream()
                .filter(ran -> ran.begun().compareTo(from) > 0)
                .forEach(ran ->
                        follow(ran.handle(), Integer.parseInt(ran.tenant().substring("tenant".length()))));
    }

    /** A caller asks again with the same id while the outcome is unknown. */
    public void submit(int tenant, String id, String lane, String order, byte[] body, List<String> at, int tries) {
        Duration sent = w.sim.now();
        Request request = new Request(
                "POST",
                "/v1/lanes/" + lane + "/messages",
                Map.of("authorization", "Bearer " + TestConfiguration.callerKey(tenant)),
                body);
        w.request(at.get(w.sim.random().nextInt(at.size())), request, Duration.ofSeconds(6), optional -> {
            Observations.Said said = optional.isEmpty() || unknown(optional.get())
                    ? Observations.Said.UNKNOWN
                    : optional.get().status() == 202 ? Observations.Said.ACCEPTED : Observations.Said.REFUSED;
            String kind = optional.map(response -> response.status() == 202
                            ? "accepted"
                            : json(response).path("kind").asText())
                    .orElse("no answer");
            kinds.merge(kind, 1L, Long::sum);
            String handle = said == Observations.Said.ACCEPTED
                    ? json(optional.get()).path("handle").asText()
                    : "";
            boolean repeated = said == Observations.Said.ACCEPTED
                    && json(optional.get()).path("repeated").asBoolean();
            w.seen.saw(
                    w.seen.submitted,
                    new Observations.Submitted(
                            TestConfiguration.tenant(tenant),
                            id,
                            lane,
                            order,
                            TestConfiguration.callerKey(tenant),
                            sent,
                            w.sim.now(),
                            said,
                            kind,
                            handle,
                            repeated));
            if (said == Observations.Said.ACCEPTED) {
                follow(handle, tenant);
            } else if (said == Observations.Said.UNKNOWN && tries > 0) {
                submit(tenant, id, lane, order, body, at, tries - 1);
            }
        });
    }

    private static boolean unknown(Response response) {
        String kind = json(response).path("kind").asText();
        return response.status() != 202
                && (kind.isEmpty()
                        || !ErrorKind.valueOf(kind.toUpperCase(Locale.ROOT)).definite());
    }

    static JsonNode json(Response response) {
        try {
            return Configurations.JSON.readTree(response.body());
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** ControlMessages for messages while the run goes on: ended ones are forgotten after a while. */
    public void watch() {
        w.sim.after(Duration.ofSeconds(20), () -> {
            List.copyOf(open).forEach(this::ask);
            watch();
        });
    }

    /** An accepted message whose end is to be seen. */
    void follow(String handle, int tenant) {
        if (!owners.containsKey(handle)) {
            owners.put(handle, tenant);
            open.add(handle);
        }
    }

    private void ask(String handle) {
        String at = w.intakes.get(w.sim.random().nextInt(w.intakes.size()));
        Duration asked = w.sim.now();
        w.request(
                at,
                new Request(
                        "GET",
                        "/v1/messages/" + handle,
                        Map.of("authorization", "Bearer " + TestConfiguration.callerKey(owners.get(handle))),
                        new byte[0]),
                Duration.ofSeconds(5),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> {
                            Observations.Shown shown =
                                    Observations.Shown.read(handle, json(response), asked, w.sim.now(), w::trueTime);
                            w.seen.saw(w.seen.shown, shown);
                            if (shown.over()) {
                                open.remove(handle);
                            }
                        }));
    }

    /** ControlMessages for all accepted messages until each has ended. */
    public boolean settle(Duration limit) {
        calm();
        Duration end = w.sim.now().plus(limit);
        w.sim.run(Duration.ofSeconds(7));
        while (!open.isEmpty() && w.sim.now().compareTo(end) < 0) {
            List.copyOf(open).forEach(this::ask);
            w.sim.run(Duration.ofSeconds(2));
        }
        return open.isEmpty();
    }

    public Map<String, Long> kinds() {
        return kinds;
    }

    public Optional<String> firstOpen() {
        return open.stream().findFirst();
    }
}
