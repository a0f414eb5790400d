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

/**
 * Callers of a simulated fleet: they submit messages, repeat a submission while its outcome is unknown, and query the
 * status of accepted messages.
 */
public class Callers {
    private static final Duration FOLLOW_WINDOW = Duration.ofSeconds(90);
    public final SimulatedFleet fleet;
    private final Map<String, Integer> tenantByHandle = new HashMap<>();
    private final Set<String> openHandles = new HashSet<>();
    private final Map<String, Long> answerCounts = new TreeMap<>();
    private long nextId;
    private boolean trafficOn;

    Callers(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Submits messages as a Poisson process of the given rate until stopped. */
    public void traffic(double perSecond) {
        trafficOn = true;
        scheduleNext(perSecond);
    }

    public void stopTraffic() {
        trafficOn = false;
    }

    private void scheduleNext(double perSecond) {
        fleet.sim.after(
                Duration.ofNanos((long) (-Math.log(1 - fleet.sim.random().nextDouble()) / perSecond * 1e9)), () -> {
                    if (trafficOn) {
                        submitRandom(fleet.sim.random().nextInt(fleet.testConfiguration.tenants()));
                        scheduleNext(perSecond);
                    }
                });
    }

    public void submitRandom(int tenant) {
        List<String> lanes = fleet.testConfiguration.lanes();
        String lane =
                fleet.sim.chance(0.4) ? "accept" : lanes.get(fleet.sim.random().nextInt(lanes.size()));
        String orderKey =
                lane.equals("accept") ? "applicant" + fleet.sim.random().nextInt(6) : "";
        Map<String, Object> body = new LinkedHashMap<>();
        String id = "c" + nextId++;
        body.put("id", id);
        if (!orderKey.isEmpty()) {
            body.put("orderingKey", orderKey);
        }
        body.put("delayMs", fleet.sim.chance(0.1) ? 1000 : 0);
        body.put("body", Map.of("text", "x".repeat(300)));
        submit(tenant, id, lane, orderKey, Configurations.write(body), fleet.intakes, 5);
    }

    /** Submits a message to the lane without ordering. */
    public void submitUnordered(int tenant) {
        submitUnorderedAt(tenant, fleet.intakes);
    }

    public void submitUnorderedAt(int tenant, List<String> intakes) {
        String id = "c" + nextId++;
        submit(
                tenant,
                id,
                "hold",
                "",
                Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of("n", 1))),
                intakes,
                5);
    }

    /** Submits a message for an external endpoint. */
    public void submitToEndpoint(int endpoint) {
        String id = "c" + nextId++;
        submit(
                (int) (nextId % fleet.testConfiguration.tenants()),
                id,
                "check" + endpoint,
                "",
                Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of("n", 1))),
                fleet.intakes,
                5);
    }

    /**
     * Follows messages that were executed although their submission was never answered; older ones are left out, since
     * the fleet may have discarded them.
     */
    public void followExecuted() {
        Duration from = fleet.sim.now().minus(FOLLOW_WINDOW);
        fleet.observations.copy(fleet.observations.ran).stream()
                .filter(ran -> ran.begun().compareTo(from) > 0)
                .forEach(ran ->
                        follow(ran.handle(), Integer.parseInt(ran.tenant().substring("tenant".length()))));
    }

    /** Submits a message, and repeats it under the same id while the outcome is unknown. */
    public void submit(
            int tenant, String id, String lane, String orderKey, byte[] body, List<String> intakes, int retries) {
        Duration sent = fleet.sim.now();
        Request request = new Request(
                "POST",
                "/v1/lanes/" + lane + "/messages",
                Map.of("authorization", "Bearer " + TestConfiguration.callerKey(tenant)),
                body);
        fleet.request(
                intakes.get(fleet.sim.random().nextInt(intakes.size())), request, Duration.ofSeconds(6), optional -> {
                    Observations.SubmissionOutcome result = optional.isEmpty() || outcomeUnknown(optional.get())
                            ? Observations.SubmissionOutcome.UNKNOWN
                            : optional.get().status() == 202
                                    ? Observations.SubmissionOutcome.ACCEPTED
                                    : Observations.SubmissionOutcome.REFUSED;
                    String answer = optional.map(response -> response.status() == 202
                                    ? "accepted"
                                    : json(response).path("kind").asText())
                            .orElse("no answer");
                    answerCounts.merge(answer, 1L, Long::sum);
                    String handle = result == Observations.SubmissionOutcome.ACCEPTED
                            ? json(optional.get()).path("handle").asText()
                            : "";
                    boolean repeated = result == Observations.SubmissionOutcome.ACCEPTED
                            && json(optional.get()).path("repeated").asBoolean();
                    fleet.observations.append(
                            fleet.observations.submitted,
                            new Observations.Submitted(
                                    TestConfiguration.tenant(tenant),
                                    id,
                                    lane,
                                    orderKey,
                                    TestConfiguration.callerKey(tenant),
                                    sent,
                                    fleet.sim.now(),
                                    result,
                                    answer,
                                    handle,
                                    repeated));
                    if (result == Observations.SubmissionOutcome.ACCEPTED) {
                        follow(handle, tenant);
                    } else if (result == Observations.SubmissionOutcome.UNKNOWN && retries > 0) {
                        submit(tenant, id, lane, orderKey, body, intakes, retries - 1);
                    }
                });
    }

    private static boolean outcomeUnknown(Response response) {
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

    /** Queries open messages regularly during the run, since ended ones are discarded after a while. */
    public void pollStatus() {
        fleet.sim.after(Duration.ofSeconds(20), () -> {
            List.copyOf(openHandles).forEach(this::queryStatus);
            pollStatus();
        });
    }

    /** Queries an accepted message until it has ended. */
    void follow(String handle, int tenant) {
        if (!tenantByHandle.containsKey(handle)) {
            tenantByHandle.put(handle, tenant);
            openHandles.add(handle);
        }
    }

    private void queryStatus(String handle) {
        String intake = fleet.intakes.get(fleet.sim.random().nextInt(fleet.intakes.size()));
        Duration asked = fleet.sim.now();
        fleet.request(
                intake,
                new Request(
                        "GET",
                        "/v1/messages/" + handle,
                        Map.of("authorization", "Bearer " + TestConfiguration.callerKey(tenantByHandle.get(handle))),
                        new byte[0]),
                Duration.ofSeconds(5),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> {
                            Observations.StatusRead shown = Observations.StatusRead.read(
                                    handle, json(response), asked, fleet.sim.now(), fleet::simulatedTime);
                            fleet.observations.append(fleet.observations.shown, shown);
                            if (shown.isTerminal()) {
                                openHandles.remove(handle);
                            }
                        }));
    }

    /** Queries all accepted messages until each has ended; false if that takes longer than the limit. */
    public boolean settle(Duration limit) {
        stopTraffic();
        Duration end = fleet.sim.now().plus(limit);
        fleet.sim.run(Duration.ofSeconds(7));
        while (!openHandles.isEmpty() && fleet.sim.now().compareTo(end) < 0) {
            List.copyOf(openHandles).forEach(this::queryStatus);
            fleet.sim.run(Duration.ofSeconds(2));
        }
        return openHandles.isEmpty();
    }

    public Map<String, Long> countsByOutcome() {
        return answerCounts;
    }

    public Optional<String> firstOpen() {
        return openHandles.stream().findFirst();
    }
}
