package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * One scenario for each rule of {@code NeverList}, which brings about the failure that the rule guards against.
 * (docs/design.md, section 12.3)
 */
final class FailureScenarios {
    private static final TestConfiguration SMALL_CONFIGURATION = new TestConfiguration(3, 2, 20, 30, 26);

    private FailureScenarios() {}

    private static FleetSimulation startFleet(long seed, TestConfiguration testConfiguration, FleetOverrides overrides)
            throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(seed, 3, 3, 4, testConfiguration, SimulatedFleet.LARGE_RING, overrides).startAll();
        simulation.w.sim.run(Duration.ofSeconds(2));
        return simulation;
    }

    private static FleetSimulation finish(FleetSimulation simulation) {
        simulation.followWhatRan();
        simulation.settle(Duration.ofSeconds(120));
        return simulation;
    }

    /** 01: all machines lose power under traffic. */
    static FleetSimulation powerLossEverywhere(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(30);
        simulation.w.sim.run(Duration.ofSeconds(4));
        simulation.calm();
        simulation.w.all().forEach(host -> simulation.w.host(host).powerLoss());
        simulation.w.sim.run(Duration.ofSeconds(1));
        for (String host : simulation.w.all()) {
            simulation.w.restart(host);
        }
        simulation.w.sim.run(Duration.ofSeconds(8));
        return finish(simulation);
    }

    /** 02: processors execute the messages, and then answer half of them with an error. */
    static FleetSimulation errorsAfterTheWork(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation
                .w
                .backends
                .values()
                .forEach(backend -> backend.behave(new Backend.Manner(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        simulation.traffic(15);
        simulation.w.sim.run(Duration.ofSeconds(6));
        return finish(simulation);
    }

    /** 03: the stores receive an intake's requests, but their responses do not reach it. */
    static FleetSimulation answersDoNotComeBack(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(30);
        simulation.w.sim.run(Duration.ofSeconds(2));
        simulation.w.stores.forEach(store -> simulation.w.net.cutOneWay(store, simulation.w.intakes.get(0)));
        simulation.w.sim.run(Duration.ofSeconds(5));
        simulation.calm();
        simulation.w.sim.run(Duration.ofSeconds(7));
        simulation.w.net.heal();
        return finish(simulation);
    }

    /** 04: executions take longer than the time limit of an attempt. */
    static FleetSimulation workLongerThanAnAttempt(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation
                .w
                .backends
                .values()
                .forEach(backend -> backend.behave(new Backend.Manner(Duration.ofSeconds(5), 0, 0, 0)));
        simulation.traffic(8);
        simulation.w.sim.run(Duration.ofSeconds(6));
        simulation.calm();
        simulation.w.sim.run(Duration.ofSeconds(20));
        simulation.w.backends.values().forEach(backend -> backend.behave(Backend.Manner.good()));
        return finish(simulation);
    }

    /** 05: the streams between an intake and the stores stall for a minute while a tenant floods it. */
    static FleetSimulation stalledStreams(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        String intake = simulation.w.intakes.get(0);
        reachEveryStore(simulation, intake);
        simulation.w.stores.forEach(store -> simulation.w.net.stall(intake, store));
        for (int ms = 0; ms < 60000; ms += 50) {
            simulation.w.sim.after(Duration.ofMillis(ms), () -> simulation.plainAt(0, List.of(intake)));
        }
        simulation.w.sim.run(Duration.ofSeconds(60));
        simulation.w.net.heal();
        simulation.w.sim.run(Duration.ofSeconds(2));
        return finish(simulation);
    }

    /** Submits messages until so many are accepted that the intake has streams to all stores and knows their clocks. */
    private static void reachEveryStore(FleetSimulation simulation, String intake) {
        int messages = 20;
        for (int n = 0; n < messages; n++) {
            simulation.plainAt(1, List.of(intake));
        }
        simulation.w.sim.run(Duration.ofSeconds(1));
        for (int n = 0; n < messages && simulation.kinds().getOrDefault("accepted", 0L) < messages; n++) {
            simulation.plainAt(1, List.of(intake));
            simulation.w.sim.run(Duration.ofMillis(100));
        }
        FleetSimulation.require(
                simulation.kinds().getOrDefault("accepted", 0L) >= messages,
                "too few submissions were accepted for the intake to have reached every store");
    }

    /** 06: streams to an endpoint take up to 3 s to open, and then all open at the same moment. */
    static FleetSimulation streamsThatOpenSlowly(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, new TestConfiguration(3, 1, 60, 60, 26), overrides);
        for (int ms = 0; ms < 14000; ms += 20) {
            simulation.w.sim.after(Duration.ofMillis(ms), () -> simulation.check(0));
        }
        String endpoint = TestConfiguration.endpoint(0);
        for (int ms = 0; ms < 3000; ms += 50) {
            Duration remaining = Duration.ofMillis(3000 - ms);
            simulation.w.sim.after(
                    Duration.ofMillis(7000 + ms), () -> simulation.w.post.slowStreams(endpoint, remaining));
        }
        simulation.w.sim.after(Duration.ofMillis(10000), () -> simulation.w.post.slowStreams(endpoint, Duration.ZERO));
        simulation.w.sim.run(Duration.ofSeconds(14));
        return finish(simulation);
    }

    /** Cuts a zone's nodes off from the core; all other links stay up. */
    private static void cutOffFromCore(FleetSimulation simulation, int zone) {
        for (String node : List.of(simulation.w.intakes.get(zone), simulation.w.stores.get(zone))) {
            simulation.w.controlNodes.forEach(controlNode -> simulation.w.net.cut(controlNode, node));
        }
    }

    /**
     * A zone whose intake does not own the token bucket of the tenant used here. After the cut it still gets tokens for
     * that tenant, so only the age of its views can make it refuse messages.
     */
    private static int zoneWithoutTenantBucket(FleetSimulation simulation) {
        return simulation
                        .w
                        .dataPlaneNode(simulation.w.intakes.get(0))
                        .ownedBuckets()
                        .contains("tenant/" + TestConfiguration.tenant(2))
                ? 1
                : 0;
    }

    /** 07: a key is withdrawn while a zone is cut off from the core; it stays in use, also for reads. */
    static FleetSimulation keyWithdrawnOutOfTouch(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        new ConfigurationOperator(simulation).withdraw();
        simulation.w.sim.run(Duration.ofMillis(1800));
        cutOffFromCore(simulation, zoneWithoutTenantBucket(simulation));
        simulation.w.sim.run(Duration.ofSeconds(16));
        simulation.w.net.heal();
        return finish(simulation);
    }

    /** 08: a lane is added, and removed again while a zone is cut off from the core. */
    static FleetSimulation lanesChangedOutOfTouch(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        ConfigurationOperator operator = new ConfigurationOperator(simulation);
        operator.change();
        simulation.w.sim.run(Duration.ofSeconds(4));
        cutOffFromCore(simulation, zoneWithoutTenantBucket(simulation));
        operator.change();
        simulation.w.sim.run(Duration.ofSeconds(9));
        simulation.w.net.heal();
        simulation.w.sim.run(Duration.ofSeconds(3));
        return finish(simulation);
    }

    /**
     * 09: the leader of the configuration partition is cut off; the other control nodes accept a new configuration; then
     * the configuration is read from the former leader and from another node.
     */
    static FleetSimulation ownerOfTheLayoutCutOff(long seed, FleetOverrides overrides, AtomicReference<String> cut)
            throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        String leader = simulation.w.controlNodes.stream()
                .filter(controlNode ->
                        simulation.w.controlNode(controlNode).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        simulation.w.net.cutOff(leader);
        cut.set(leader);
        simulation.w.sim.run(Duration.ofSeconds(4));
        List<String> others = simulation.w.controlNodes.stream()
                .filter(controlNode -> !controlNode.equals(leader))
                .toList();
        new ConfigurationOperator(simulation).changeAt(others);
        simulation.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.readAt(leader);
            simulation.readAt(others.get(0));
            simulation.w.sim.run(Duration.ofSeconds(1));
        }
        cut.set("");
        simulation.w.net.heal();
        return finish(simulation);
    }

    /**
     * 10: processors are marked as leaving while no store is connected to the core. A store that is its own home node for
     * a view has no other node to get it from.
     */
    static FleetSimulation markedOutOfTouch(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(40);
        simulation.w.sim.run(Duration.ofSeconds(2));
        simulation.w.stores.forEach(
                store -> simulation.w.controlNodes.forEach(controlNode -> simulation.w.net.cut(controlNode, store)));
        simulation.list("p0", true);
        simulation.list("p1", true);
        simulation.w.sim.run(Duration.ofSeconds(10));
        simulation.w.net.heal();
        return finish(simulation);
    }

    /** 11: a middlebox answers "200" in place of the endpoints, and forwards nothing. */
    static FleetSimulation somethingInBetween(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.w.post.middlebox(true);
        simulation.traffic(15);
        simulation.w.sim.run(Duration.ofSeconds(5));
        simulation.w.post.middlebox(false);
        return finish(simulation);
    }

    /**
     * 12: two full outages in a row, each over once every tenant is served in every partition. After the second one a
     * control node and a store restart late, so that their partitions must wait until their leases have expired.
     */
    static FleetSimulation twoOutages(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        for (int i = 0; i < 2; i++) {
            simulation.traffic(20);
            simulation.w.sim.run(Duration.ofSeconds(3));
            simulation.calm();
            simulation.w.all().forEach(host -> simulation.w.host(host).powerLoss());
            simulation.w.sim.run(Duration.ofSeconds(1));
            List<String> late =
                    i == 0 ? List.of() : List.of(simulation.w.controlNodes.get(0), simulation.w.stores.get(0));
            for (String host : simulation.w.all()) {
                if (!late.contains(host)) {
                    simulation.w.restart(host);
                }
            }
            awaitReturn(simulation);
            for (String host : late) {
                simulation.w.restart(host);
            }
        }
        return finish(simulation);
    }

    /** Waits until every tenant has had a submission accepted in every partition, sent after the restart. */
    static Duration awaitReturn(FleetSimulation simulation) {
        Duration restarted = simulation.w.sim.now();
        simulation.w.sim.runUntil(
                () -> {
                    for (int tenant = 0; tenant < simulation.w.testConfiguration.tenants(); tenant++) {
                        for (int n = 0; n < 2; n++) {
                            simulation.plain(tenant);
                        }
                    }
                    long served = simulation.w.seen.submitted.stream()
                            .filter(submitted -> submitted.said() == Observations.Said.ACCEPTED
                                    && submitted.sent().compareTo(restarted) > 0)
                            .map(submitted -> submitted.tenant()
                                    + submitted
                                            .handle()
                                            .substring(0, submitted.handle().indexOf('-')))
                            .distinct()
                            .count();
                    return served >= (long) ServiceNames.MESSAGE_PARTITIONS * simulation.w.testConfiguration.tenants();
                },
                Duration.ofSeconds(40));
        simulation.w.seen.saw(simulation.w.seen.outages, new Observations.Outage(restarted, simulation.w.sim.now()));
        return simulation.w.sim.now().minus(restarted);
    }
}
