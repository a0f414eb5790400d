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
 * Withdraws and exchanges keys of a simulated fleet, and goes on using the withdrawn ones to see what they still do.
 */
final class KeyChanges {
    private static final String KEY_NAME = "short";
    private static final int TENANT = 2;
    private static final Duration WITHDRAWN_AFTER = Duration.ofSeconds(2);
    private static final Duration USED_FOR = Duration.ofSeconds(14);
    private static final Duration USE_INTERVAL = Duration.ofMillis(500);
    private static final Duration OLD_PROCESSOR_KEY_USED_FOR = Duration.ofSeconds(8);
    private static final Duration CALLER_LIMIT = Duration.ofSeconds(5);

    private final FleetSimulation fleet;
    private final SimulatedFleet world;
    private final IntSupplier nextNumber;

    /** Takes a number of the supplier for each change, so that request ids and secrets differ. */
    KeyChanges(FleetSimulation fleet, IntSupplier nextNumber) {
        this.fleet = fleet;
        this.world = fleet.w;
        this.nextNumber = nextNumber;
    }

    /** A caller's key is added, withdrawn, and used on every intake long after. */
    void withdraw() {
        int number = nextNumber.getAsInt();
        String secret = "short-lived-" + number;
        String requestId = "key" + number;
        Configuration.Key key = new Configuration.Key(
                Configuration.Role.CALLER, TestConfiguration.tenant(TENANT), "", Configurations.sha256(secret));
        Configuration with = Edit.keys(fleet.configuration, keys -> keys.put(KEY_NAME, key));
        fleet.put(with, fleet.version, requestId, answer -> {
            if (answer.status() == 200) {
                world.sim.after(WITHDRAWN_AFTER, () -> drop(secret, requestId));
                world.intakes.forEach(
                        intake -> use(intake, secret, world.sim.now().plus(USED_FOR)));
            }
        });
    }

    private void drop(String secret, String requestId) {
        Configuration without = Edit.keys(fleet.configuration, keys -> keys.remove(KEY_NAME));
        fleet.put(without, fleet.version, requestId + "-drop", answer -> {
            if (answer.status() == 200) {
                world.seen.saw(world.seen.keys, new Observations.KeyWithdrawn(secret, world.sim.now()));
            }
        });
    }

    /** A group's processor key is exchanged; its processors go on with the old one for a while. */
    void rotate() {
        String group = world.sim.chance(0.5) ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP;
        int number = nextNumber.getAsInt();
        String fresh = "fetch-secret-" + number;
        Configuration.Key key =
                new Configuration.Key(Configuration.Role.PROCESSOR, "", group, Configurations.sha256(fresh));
        Configuration rotated = Edit.keys(fleet.configuration, keys -> keys.put("fetch-" + group, key));
        fleet.put(rotated, fleet.version, "rotate" + number, answer -> {
            if (answer.status() == 200) {
                String old = fleet.fetchSecret(group, fresh);
                world.seen.saw(world.seen.keys, new Observations.KeyWithdrawn(old, world.sim.now()));
                world.sim.after(OLD_PROCESSOR_KEY_USED_FOR, () -> fleet.useFetchSecret(group, fresh));
            }
        });
    }

    private void use(String intake, String secret, Duration until) {
        if (world.sim.now().compareTo(until) > 0) {
            return;
        }
        submit(intake, secret);
        read(intake, secret);
        world.sim.after(USE_INTERVAL, () -> use(intake, secret, until));
    }

    private void submit(String intake, String secret) {
        Duration sent = world.sim.now();
        String id = "k" + secret + sent.toNanos();
        byte[] body = Configurations.write(Map.of("id", id, "delayMs", 0, "body", Map.of()));
        Request request = new Request("POST", "/v1/lanes/hold/messages", authorization(secret), body);
        world.request(intake, request, CALLER_LIMIT, answer -> submitted(answer, secret, id, sent));
    }

    private void read(String intake, String secret) {
        Request request = new Request("GET", "/v1/messages?state=failed", authorization(secret), new byte[0]);
        world.request(intake, request, CALLER_LIMIT, answer -> {
            if (answer.filter(response -> response.status() == 200).isPresent()) {
                world.seen.saw(world.seen.served, new Observations.KeyServed(secret, "read", world.sim.now()));
            }
        });
    }

    private static Map<String, String> authorization(String secret) {
        return Map.of("authorization", "Bearer " + secret);
    }

    private void submitted(Optional<Response> answer, String secret, String id, Duration sent) {
        Observations.Said said = said(answer);
        boolean accepted = said == Observations.Said.ACCEPTED;
        String handle = accepted
                ? FleetSimulation.json(answer.orElseThrow()).path("handle").asText()
                : "";
        world.seen.saw(
                world.seen.submitted,
                new Observations.Submitted(
                        TestConfiguration.tenant(TENANT),
                        id,
                        "hold",
                        "",
                        secret,
                        sent,
                        world.sim.now(),
                        said,
                        "",
                        handle,
                        false));
        if (accepted) {
            fleet.follow(handle, TENANT);
        }
    }

    private static Observations.Said said(Optional<Response> answer) {
        int status = answer.map(Response::status).orElse(0);
        if (status == 202) {
            return Observations.Said.ACCEPTED;
        }
        boolean unknown = answer.isEmpty() || status >= 500 && status != 503;
        return unknown ? Observations.Said.UNKNOWN : Observations.Said.REFUSED;
    }
}
