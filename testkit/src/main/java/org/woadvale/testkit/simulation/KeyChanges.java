package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Withdraws and replaces keys of a simulated fleet, and keeps using the former ones to observe what they still permit.
 */
final class KeyChanges {
    private static final String KEY_NAME = "short";
    private static final int TENANT = 2;
    private static final Duration WITHDRAWN_AFTER = Duration.ofSeconds(2);
    private static final Duration WITHDRAWN_KEY_USED_FOR = Duration.ofSeconds(14);
    private static final Duration USE_INTERVAL = Duration.ofMillis(500);
    private static final Duration OLD_PROCESSOR_KEY_USED_FOR = Duration.ofSeconds(8);
    private static final Duration CALLER_LIMIT = Duration.ofSeconds(5);

    private final FleetSimulation simulation;
    private final SimulatedFleet fleet;
    private final IntSupplier nextNumber;

    /** Each change takes a number from the supplier, so that request ids and secrets differ. */
    KeyChanges(FleetSimulation simulation, IntSupplier nextNumber) {
        this.simulation = simulation;
        this.fleet = simulation.fleet;
        this.nextNumber = nextNumber;
    }

    /** Adds a caller's key and withdraws it; the key stays in use on every intake for long after. */
    void withdraw() {
        int number = nextNumber.getAsInt();
        String secret = "short-lived-" + number;
        String requestId = "key" + number;
        Configuration.Key key = new Configuration.Key(
                Configuration.Role.CALLER, TestConfiguration.tenant(TENANT), "", Configurations.sha256(secret));
        Configuration with = Edit.keys(simulation.configuration, keys -> keys.put(KEY_NAME, key));
        simulation.put(with, simulation.version, requestId, answer -> {
            if (answer.status() == 200) {
                fleet.sim.after(WITHDRAWN_AFTER, () -> drop(secret, requestId));
                fleet.intakes.forEach(
                        intake -> use(intake, secret, fleet.sim.now().plus(WITHDRAWN_KEY_USED_FOR)));
            }
        });
    }

    private void drop(String secret, String requestId) {
        Configuration without = Edit.keys(simulation.configuration, keys -> keys.remove(KEY_NAME));
        simulation.put(without, simulation.version, requestId + "-drop", answer -> {
            if (answer.status() == 200) {
                fleet.observations.append(
                        fleet.observations.keys, new Observations.KeyWithdrawn(secret, fleet.sim.now()));
            }
        });
    }

    /** Replaces a group's processor key; its processors use the old one for a while longer. */
    void rotate() {
        String group = fleet.sim.chance(0.5) ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP;
        int number = nextNumber.getAsInt();
        String fresh = "fetch-secret-" + number;
        Configuration.Key key =
                new Configuration.Key(Configuration.Role.PROCESSOR, "", group, Configurations.sha256(fresh));
        Configuration rotated = Edit.keys(simulation.configuration, keys -> keys.put("fetch-" + group, key));
        simulation.put(rotated, simulation.version, "rotate" + number, answer -> {
            if (answer.status() == 200) {
                String old = simulation.replaceFetchSecret(group, fresh);
                fleet.observations.append(fleet.observations.keys, new Observations.KeyWithdrawn(old, fleet.sim.now()));
                fleet.sim.after(OLD_PROCESSOR_KEY_USED_FOR, () -> simulation.useFetchSecret(group, fresh));
            }
        });
    }

    private void use(String intake, String secret, Duration until) {
        if (fleet.sim.now().compareTo(until) > 0) {
            return;
        }
        submit(intake, secret);
        read(intake, secret);
        fleet.sim.after(USE_INTERVAL, () -> use(intake, secret, until));
    }

    private void submit(String intake, String secret) {
        Duration sent = fleet.sim.now();
        String id = "k" + secret + sent.toNanos();
        byte[] body = Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of()));
        Request request = new Request("POST", "/v1/lanes/hold/messages", authorization(secret), body);
        fleet.request(intake, request, CALLER_LIMIT, answer -> recordSubmission(answer, secret, id, sent));
    }

    private void read(String intake, String secret) {
        Request request = new Request("GET", "/v1/messages?state=failed", authorization(secret), new byte[0]);
        fleet.request(intake, request, CALLER_LIMIT, answer -> {
            if (answer.filter(response -> response.status() == 200).isPresent()) {
                fleet.observations.append(
                        fleet.observations.served, new Observations.RequestServed(secret, "read", fleet.sim.now()));
            }
        });
    }

    private static Map<String, String> authorization(String secret) {
        return Map.of("authorization", "Bearer " + secret);
    }

    private void recordSubmission(Optional<Response> answer, String secret, String id, Duration sent) {
        Observations.SubmissionOutcome result = submissionResult(answer);
        boolean accepted = result == Observations.SubmissionOutcome.ACCEPTED;
        String handle = accepted
                ? FleetSimulation.json(answer.orElseThrow()).path("handle").asText()
                : "";
        fleet.observations.append(
                fleet.observations.submitted,
                new Observations.Submitted(
                        TestConfiguration.tenant(TENANT),
                        id,
                        "hold",
                        "",
                        secret,
                        sent,
                        fleet.sim.now(),
                        result,
                        "",
                        handle,
                        false));
        if (accepted) {
            simulation.follow(handle, TENANT);
        }
    }

    private static Observations.SubmissionOutcome submissionResult(Optional<Response> answer) {
        int status = answer.map(Response::status).orElse(0);
        if (status == 202) {
            return Observations.SubmissionOutcome.ACCEPTED;
        }
        boolean unknown = answer.isEmpty() || status >= 500 && status != 503;
        return unknown ? Observations.SubmissionOutcome.UNKNOWN : Observations.SubmissionOutcome.REFUSED;
    }
}
