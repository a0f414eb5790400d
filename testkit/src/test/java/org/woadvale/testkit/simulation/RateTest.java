package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.Edit;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** An outside endpoint under more work than its rate, while what paces it changes. */
class RateTest {
    private static final String ENDPOINT = TestConfiguration.endpoint(0);

    private static List<String> under(long seed, Consumer<FleetSimulation> change) throws ServiceException {
        FleetSimulation v =
                new FleetSimulation(seed, 3, 3, 2, new TestConfiguration(3, 1, 60, 60, 26), World.LARGE_RING).embark();
        for (int ms = 0; ms < 12000; ms += 20) {
            v.w.sim.after(Duration.ofMillis(ms), () -> v.check(0));
        }
        v.w.sim.after(Duration.ofSeconds(5), () -> change.accept(v));
        v.w.sim.run(Duration.ofSeconds(13));
        assertTrue(v.settle(Duration.ofSeconds(200)), "open: " + v.firstOpen());
        return v.violations();
    }

    private static String holder(FleetSimulation v) {
        return v.w.intakes.stream()
                .filter(i -> v.w.pilot(i).ownedBuckets().stream().anyMatch(b -> b.startsWith("endpoint/")))
                .findFirst()
                .orElseThrow();
    }

    /** The holder and one store are out of touch with everyone who could tell them, but not with each other. */
    private static void keepInTheDark(FleetSimulation v) {
        String holder = holder(v);
        String store = v.w.stores.get(0);
        v.w.net.cutOff(holder);
        v.w.net.join(holder, store);
        v.w.lighthouses.forEach(l -> v.w.net.cut(l, store));
        v.w.intakes.stream().filter(i -> !i.equals(holder)).forEach(i -> v.w.net.cut(i, store));
        v.w.sim.after(Duration.ofSeconds(3), v.w.net::heal);
    }

    /** Before: the bucket went by the service's name, and two of them were granted from for up to 2 s. */
    @Test
    void renamedServiceKeepsItsEndpointsBucket() throws ServiceException {
        for (long seed = 1; seed <= 1; seed++) {
            assertEquals(List.of(), under(seed, v -> {
                keepInTheDark(v);
                Configuration renamed = Edit.services(v.configuration, m -> m.put("renamed", m.remove(ENDPOINT)));
                v.put(
                        Edit.lanes(renamed, m -> m.put("check0", Edit.service(m.get("check0"), "renamed"))),
                        v.version,
                        "rename",
                        a -> assertEquals(200, a.status()));
            }));
        }
    }

    @Test
    void loweredRateIsKeptAfterThreeSeconds() throws ServiceException {
        assertEquals(List.of(), under(1, v -> {
            Duration sent = v.w.sim.now();
            v.put(
                    Edit.services(v.configuration, m -> m.put(ENDPOINT, Edit.rate(m.get(ENDPOINT), 8))),
                    v.version,
                    "lower",
                    a -> v.w.seen.paced(ENDPOINT, new Observations.Limit(8, 0, sent, v.w.sim.now())));
        }));
    }

    @Test
    void changeOfHolderKeepsTheRate() throws ServiceException {
        for (long seed = 1; seed <= 1; seed++) {
            assertEquals(List.of(), under(seed, v -> {
                String holder = holder(v);
                v.w.kill(holder);
                v.w.sim.after(Duration.ofSeconds(3), () -> v.w.begin(holder));
            }));
        }
    }
}
