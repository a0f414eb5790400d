package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;

/** Runs simulated fleets, with and without faults, to observe what they answer and store. */
public final class SimulatedFleets {
    /** The control node whose folder {@link #folders} returns. */
    public static final String CONTROL_ADDRESS = "10.0.0.1:1";
    /** The store whose folder {@link #folders} returns. */
    public static final String STORE_ADDRESS = "10.0.1.1:1";

    private static final Duration DAY = Duration.ofSeconds(20);
    private static final long SEED = 3;
    /** So many that every kind of answer to an operator is among them. */
    private static final int DAYS = 4;

    private static final int REQUESTS_PER_SECOND = 30;
    private static final int SUBMISSIONS_WITHOUT_STORES = 12;

    private SimulatedFleets() {}

    /** Data folders of two machines of one fleet. */
    public record Folders(SimDisk control, SimDisk store) {}

    /** Runs fleets behind each of the two HTTP interfaces, then requests the paths that their clients do not use. */
    public static void recordExchanges(BiConsumer<Request, Response> watcher) throws ServiceException {
        for (long seed = SEED; seed < SEED + DAYS; seed++) {
            SeededPlatformDays day = new SeededPlatformDays(seed);
            day.watchAnswers(watcher);
            day.run(DAY);
        }
        FaultStorm storm = new FaultStorm(SEED);
        storm.watchAnswers(watcher);
        storm.run();
        FleetSimulation fleet = new FleetSimulation(SEED, 3, 3, 2).startAll();
        fleet.fleet.watchResponses(watcher);
        for (String node : fleet.fleet.all()) {
            for (String path : new String[] {
                "GET /v1/liveness",
                "GET /v1/readiness",
                "GET /v1/status",
                "GET /v1/layout",
                "GET /v1/layout/1",
                "GET /v1/layout/77",
                "GET /v1/layout/history",
                "PUT /v1/layout",
                "GET /v1/services/desk/processors",
                "DELETE /v1/services/desk/processors/none",
                "PUT /v1/core",
                "GET /v1/nowhere",
                "POST /v1/lanes/hold/messages",
                "GET /v1/messages/m0-1",
                "GET /v1/messages",
                "POST /v1/services/desk/fetch",
                "POST /v1/messages/m0-1/outcome"
            }) {
                String[] words = path.split(" ");
                Request request = new Request(words[0], words[1], Map.of(), new byte[0]);
                fleet.fleet.request(node, request, Duration.ofSeconds(4), answer -> {});
                fleet.fleet.sim.run(Duration.ofMillis(200));
            }
        }
        fleet.fleet.sim.run(Duration.ofSeconds(4));
        submitWithoutStores(fleet);
    }

    /** Submits messages, round-robin over the tenants, while no store runs, so that they are rejected. */
    private static void submitWithoutStores(FleetSimulation fleet) {
        fleet.fleet.stores.forEach(fleet.fleet::kill);
        fleet.fleet.sim.run(Duration.ofMillis(300));
        for (int i = 0; i < SUBMISSIONS_WITHOUT_STORES; i++) {
            fleet.submitRandom(i % fleet.fleet.testConfiguration.tenants());
            fleet.fleet.sim.run(Duration.ofMillis(150));
        }
        fleet.fleet.sim.run(Duration.ofSeconds(8));
    }

    /**
     * The folders of a control node and a store that lost their disks under traffic, so that they hold a snapshot from
     * a leader and entries after it.
     */
    public static Folders folders() throws ServiceException {
        PlatformSimulation day = new PlatformSimulation(SEED, 3, 3, FleetOverrides.none()).startAll();
        day.clients.start(REQUESTS_PER_SECOND);
        SimulatedPlatformFleet network = day.network;
        network.sim.run(DAY);
        for (String address : List.of(CONTROL_ADDRESS, STORE_ADDRESS)) {
            network.kill(address);
            network.host(address).disk.wipe();
            network.restart(address);
            day.operator.change();
            network.sim.run(DAY);
        }
        return new Folders(
                network.host(CONTROL_ADDRESS).disk.copy(),
                network.host(STORE_ADDRESS).disk.copy());
    }
}
