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
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        return simulation;
    }

    private static FleetSimulation finish(FleetSimulation simulation) {
        simulation.followExecuted();
        simulation.settle(Duration.ofSeconds(120));
        return simulation;
    }

    /** 01: all machines lose power under traffic. */
    static FleetSimulation powerLossEverywhere(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(30);
        simulation.fleet.sim.run(Duration.ofSeconds(4));
        simulation.stopTraffic();
        simulation.fleet.all().forEach(host -> simulation.fleet.host(host).powerLoss());
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        for (String host : simulation.fleet.all()) {
            simulation.fleet.restart(host);
        }
        simulation.fleet.sim.run(Duration.ofSeconds(8));
        return finish(simulation);
    }

    /** 02: processors execute the messages, and then answer half of them with an error. */
    static FleetSimulation errorsAfterTheWork(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation
                .fleet
                .backends
                .values()
                .forEach(backend -> backend.setBehavior(new Backend.Behavior(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        simulation.traffic(15);
        simulation.fleet.sim.run(Duration.ofSeconds(6));
        return finish(simulation);
    }

    /** 03: the stores receive an intake's requests, but their responses do not reach it. */
    static FleetSimulation storeResponsesLost(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(30);
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        simulation.fleet.stores.forEach(
                store -> simulation.fleet.net.cutOneWay(store, simulation.fleet.intakes.get(0)));
        simulation.fleet.sim.run(Duration.ofSeconds(5));
        simulation.stopTraffic();
        simulation.fleet.sim.run(Duration.ofSeconds(7));
        simulation.fleet.net.heal();
        return finish(simulation);
    }

    /** 04: executions take longer than the time limit of an attempt. */
    static FleetSimulation workLongerThanAnAttempt(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation
                .fleet
                .backends
                .values()
                .forEach(backend -> backend.setBehavior(new Backend.Behavior(Duration.ofSeconds(5), 0, 0, 0)));
        simulation.traffic(8);
        simulation.fleet.sim.run(Duration.ofSeconds(6));
        simulation.stopTraffic();
        simulation.fleet.sim.run(Duration.ofSeconds(20));
        simulation.fleet.backends.values().forEach(backend -> backend.setBehavior(Backend.Behavior.good()));
        return finish(simulation);
    }

    /** 05: the streams between an intake and the stores stall for a minute while a tenant floods it. */
    static FleetSimulation stalledStreams(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        String intake = simulation.fleet.intakes.get(0);
        reachEveryStore(simulation, intake);
        simulation.fleet.stores.forEach(store -> simulation.fleet.net.stall(intake, store));
        for (int ms = 0; ms < 60000; ms += 50) {
            simulation.fleet.sim.after(Duration.ofMillis(ms), () -> simulation.submitUnorderedAt(0, List.of(intake)));
        }
        simulation.fleet.sim.run(Duration.ofSeconds(60));
        simulation.fleet.net.heal();
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        return finish(simulation);
    }

    /** Submits messages until so many are accepted that the intake has streams to all stores and knows their clocks. */
    private static void reachEveryStore(FleetSimulation simulation, String intake) {
        int messages = 20;
        for (int n = 0; n < messages; n++) {
            simulation.submitUnorderedAt(1, List.of(intake));
        }
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        for (int n = 0; n < messages && simulation.countsByOutcome().getOrDefault("accepted", 0L) < messages; n++) {
            simulation.submitUnorderedAt(1, List.of(intake));
            simulation.fleet.sim.run(Duration.ofMillis(100));
        }
        FleetSimulation.require(
                simulation.countsByOutcome().getOrDefault("accepted", 0L) >= messages,
                "too few submissions were accepted for the intake to have reached every store");
    }

    /** 06: streams to an endpoint take up to 3 s to open, and then all open at the same moment. */
    static FleetSimulation streamsThatOpenSlowly(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, new TestConfiguration(3, 1, 60, 60, 26), overrides);
        for (int ms = 0; ms < 14000; ms += 20) {
            simulation.fleet.sim.after(Duration.ofMillis(ms), () -> simulation.submitToEndpoint(0));
        }
        String endpoint = TestConfiguration.endpoint(0);
        for (int ms = 0; ms < 3000; ms += 50) {
            Duration remaining = Duration.ofMillis(3000 - ms);
            simulation.fleet.sim.after(
                    Duration.ofMillis(7000 + ms),
                    () -> simulation.fleet.deliveryNetwork.delayConnections(endpoint, remaining));
        }
        simulation.fleet.sim.after(
                Duration.ofMillis(10000),
                () -> simulation.fleet.deliveryNetwork.delayConnections(endpoint, Duration.ZERO));
        simulation.fleet.sim.run(Duration.ofSeconds(14));
        return finish(simulation);
    }

    /** Cuts a zone's nodes off from the core; all other links stay up. */
    private static void cutOffFromCore(FleetSimulation simulation, int zone) {
        for (String node : List.of(simulation.fleet.intakes.get(zone), simulation.fleet.stores.get(zone))) {
            simulation.fleet.controlNodes.forEach(controlNode -> simulation.fleet.net.cut(controlNode, node));
        }
    }

    /**
     * A zone whose intake does not own the token bucket of the tenant used here. After the cut it still gets tokens for
     * that tenant, so only the age of its views can make it refuse messages.
     */
    private static int zoneWithoutTenantBucket(FleetSimulation simulation) {
        return simulation
                        .fleet
                        .dataPlaneNode(simulation.fleet.intakes.get(0))
                        .ownedBuckets()
                        .contains("tenant/" + TestConfiguration.tenant(2))
                ? 1
                : 0;
    }

    /** 07: a key is withdrawn while a zone is cut off from the core; it stays in use, also for reads. */
    static FleetSimulation keyWithdrawnWhileDisconnected(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        new ConfigurationOperator(simulation).withdraw();
        simulation.fleet.sim.run(Duration.ofMillis(1800));
        cutOffFromCore(simulation, zoneWithoutTenantBucket(simulation));
        simulation.fleet.sim.run(Duration.ofSeconds(16));
        simulation.fleet.net.heal();
        return finish(simulation);
    }

    /** 08: a lane is added, and removed again while a zone is cut off from the core. */
    static FleetSimulation lanesChangedWhileDisconnected(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        ConfigurationOperator operator = new ConfigurationOperator(simulation);
        operator.change();
        simulation.fleet.sim.run(Duration.ofSeconds(4));
        cutOffFromCore(simulation, zoneWithoutTenantBucket(simulation));
        operator.change();
        simulation.fleet.sim.run(Duration.ofSeconds(9));
        simulation.fleet.net.heal();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        return finish(simulation);
    }

    /**
     * 09: the leader of the configuration partition is cut off; the other control nodes accept a new configuration; then
     * the configuration is read from the former leader and from another node.
     */
    static FleetSimulation configurationLeaderIsolated(long seed, FleetOverrides overrides, AtomicReference<String> cut)
            throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        String leader = simulation.fleet.controlNodes.stream()
                .filter(controlNode ->
                        simulation.fleet.controlNode(controlNode).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        simulation.fleet.net.cutOff(leader);
        cut.set(leader);
        simulation.fleet.sim.run(Duration.ofSeconds(4));
        List<String> others = simulation.fleet.controlNodes.stream()
                .filter(controlNode -> !controlNode.equals(leader))
                .toList();
        new ConfigurationOperator(simulation).changeAt(others);
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.readAt(leader);
            simulation.readAt(others.get(0));
            simulation.fleet.sim.run(Duration.ofSeconds(1));
        }
        cut.set("");
        simulation.fleet.net.heal();
        return finish(simulation);
    }

    /**
     * 10: processors are marked as leaving while no store is connected to the core. A store that is its own home node for
     * a view has no other node to get it from.
     */
    static FleetSimulation drainedWhileDisconnected(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.traffic(40);
        simulation.fleet.sim.run(Duration.ofSeconds(2));
        simulation.fleet.stores.forEach(store ->
                simulation.fleet.controlNodes.forEach(controlNode -> simulation.fleet.net.cut(controlNode, store)));
        simulation.putProcessor("p0", true);
        simulation.putProcessor("p1", true);
        simulation.fleet.sim.run(Duration.ofSeconds(10));
        simulation.fleet.net.heal();
        return finish(simulation);
    }

    /** 11: a middlebox answers "200" in place of the endpoints, and forwards nothing. */
    static FleetSimulation middleboxAnswers(long seed, FleetOverrides overrides) throws ServiceException {
        FleetSimulation simulation = startFleet(seed, SMALL_CONFIGURATION, overrides);
        simulation.fleet.deliveryNetwork.interceptRegistries(true);
        simulation.traffic(15);
        simulation.fleet.sim.run(Duration.ofSeconds(5));
        simulation.fleet.deliveryNetwork.interceptRegistries(false);
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
            simulation.fleet.sim.run(Duration.ofSeconds(3));
            simulation.stopTraffic();
            simulation.fleet.all().forEach(host -> simulation.fleet.host(host).powerLoss());
            simulation.fleet.sim.run(Duration.ofSeconds(1));
            List<String> late =
                    i == 0 ? List.of() : List.of(simulation.fleet.controlNodes.get(0), simulation.fleet.stores.get(0));
            for (String host : simulation.fleet.all()) {
                if (!late.contains(host)) {
                    simulation.fleet.restart(host);
                }
            }
            awaitReturn(simulation);
            for (String host : late) {
                simulation.fleet.restart(host);
            }
        }
        return finish(simulation);
    }

    /** Waits until every tenant has had a submission accepted in every partition, sent after the restart. */
    static Duration awaitReturn(FleetSimulation simulation) {
        Duration restarted = simulation.fleet.sim.now();
        simulation.fleet.sim.runUntil(
                () -> {
                    for (int tenant = 0; tenant < simulation.fleet.testConfiguration.tenants(); tenant++) {
                        for (int n = 0; n < 2; n++) {
                            simulation.submitUnordered(tenant);
                        }
                    }
                    long served = simulation.fleet.observations.submitted.stream()
                            .filter(submitted -> submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED
                                    && submitted.sent().compareTo(restarted) > 0)
                            .map(submitted -> submitted.tenant()
                                    + submitted
                                            .handle()
                                            .substring(0, submitted.handle().indexOf('-')))
                            .distinct()
                            .count();
                    return served
                            >= (long) ServiceNames.MESSAGE_PARTITIONS * simulation.fleet.testConfiguration.tenants();
                },
                Duration.ofSeconds(40));
        simulation.fleet.observations.append(
                simulation.fleet.observations.outages, new Observations.Outage(restarted, simulation.fleet.sim.now()));
        return simulation.fleet.sim.now().minus(restarted);
    }
}
