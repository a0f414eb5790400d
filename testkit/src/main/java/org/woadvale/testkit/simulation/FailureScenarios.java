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
 * One scenario for each never-line: it brings about the failure that the line is meant for. (docs/design.md, section
 * 12.3)
 */
final class FailureScenarios {
    private static final TestConfiguration SMALL = new TestConfiguration(3, 2, 20, 30, 26);

    private FailureScenarios() {}

    private static FleetSimulation begun(long seed, TestConfiguration testConfiguration, FleetOverrides seams)
            throws ServiceException {
        FleetSimulation simulation =
                new FleetSimulation(seed, 3, 3, 4, testConfiguration, SimulatedFleet.LARGE_RING, seams).startAll();
        simulation.w.sim.run(Duration.ofSeconds(2));
        return simulation;
    }

    private static FleetSimulation over(FleetSimulation simulation) {
        simulation.followWhatRan();
        simulation.settle(Duration.ofSeconds(120));
        return simulation;
    }

    /** 01: all machines lose their power under traffic. */
    static FleetSimulation powerLossEverywhere(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        simulation.traffic(30);
        simulation.w.sim.run(Duration.ofSeconds(4));
        simulation.calm();
        simulation.w.all().forEach(h -> simulation.w.host(h).powerLoss());
        simulation.w.sim.run(Duration.ofSeconds(1));
        for (String h : simulation.w.all()) {
            simulation.w.restart(h);
        }
        simulation.w.sim.run(Duration.ofSeconds(8));
        return over(simulation);
    }

    /** 02: processors do the work, and then something breaks. */
    static FleetSimulation errorsAfterTheWork(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        simulation
                .w
                .backends
                .values()
                .forEach(backend -> backend.behave(new Backend.Manner(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        simulation.traffic(15);
        simulation.w.sim.run(Duration.ofSeconds(6));
        return over(simulation);
    }

    /** 03: the stores hear an intake, but it does not hear them. */
    static FleetSimulation answersDoNotComeBack(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        simulation.traffic(30);
        simulation.w.sim.run(Duration.ofSeconds(2));
        simulation.w.stores.forEach(s -> simulation.w.net.cutOneWay(s, simulation.w.intakes.get(0)));
        simulation.w.sim.run(Duration.ofSeconds(5));
        simulation.calm();
        simulation.w.sim.run(Duration.ofSeconds(7));
        simulation.w.net.heal();
        return over(simulation);
    }

    /** 04: work that takes longer than an attempt may. */
    static FleetSimulation workLongerThanAnAttempt(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
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
        return over(simulation);
    }

    /** 05: the streams between an intake and the stores stall for a minute under a tenant's flood. */
    static FleetSimulation stalledStreams(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        String i = simulation.w.intakes.get(0);
        reachEveryStore(simulation, i);
        simulation.w.stores.forEach(s -> simulation.w.net.stall(i, s));
        for (int ms = 0; ms < 60000; ms += 50) {
            simulation.w.sim.after(Duration.ofMillis(ms), () -> simulation.plainAt(0, List.of(i)));
        }
        simulation.w.sim.run(Duration.ofSeconds(60));
        simulation.w.net.heal();
        simulation.w.sim.run(Duration.ofSeconds(2));
        return over(simulation);
    }

    /** An intake has streams to all stores, and knows their clocks, once so many of its messages were accepted. */
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
                simulation.kinds().getOrDefault("accepted", 0L) >= messages, "the intake has not reached the stores");
    }

    /** 06: streams to an endpoint open after anything up to 3 s, all at once in the end. */
    static FleetSimulation streamsThatOpenSlowly(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, new TestConfiguration(3, 1, 60, 60, 26), seams);
        for (int ms = 0; ms < 14000; ms += 20) {
            simulation.w.sim.after(Duration.ofMillis(ms), () -> simulation.check(0));
        }
        String e = TestConfiguration.endpoint(0);
        for (int ms = 0; ms < 3000; ms += 50) {
            Duration left = Duration.ofMillis(3000 - ms);
            simulation.w.sim.after(Duration.ofMillis(7000 + ms), () -> simulation.w.post.slowStreams(e, left));
        }
        simulation.w.sim.after(Duration.ofMillis(10000), () -> simulation.w.post.slowStreams(e, Duration.ZERO));
        simulation.w.sim.run(Duration.ofSeconds(14));
        return over(simulation);
    }

    /** The nodes of a zone hear nothing from the core any more; among themselves they do. */
    private static void outOfTouch(FleetSimulation simulation, int zone) {
        for (String n : List.of(simulation.w.intakes.get(zone), simulation.w.stores.get(zone))) {
            simulation.w.controlNodes.forEach(l -> simulation.w.net.cut(l, n));
        }
    }

    /**
     * Its intake goes on getting passes for the tenant that is used here, so that nothing but old subscriptions can
     * stop it.
     */
    private static int hallOfAnotherThanTheHolder(FleetSimulation simulation) {
        return simulation
                        .w
                        .dataPlaneNode(simulation.w.intakes.get(0))
                        .ownedBuckets()
                        .contains("tenant/" + TestConfiguration.tenant(2))
                ? 1
                : 0;
    }

    /** 07: a key is withdrawn while a zone is out of touch; it goes on being used, also for reads. */
    static FleetSimulation keyWithdrawnOutOfTouch(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        new ConfigurationOperator(simulation).withdraw();
        simulation.w.sim.run(Duration.ofMillis(1800));
        outOfTouch(simulation, hallOfAnotherThanTheHolder(simulation));
        simulation.w.sim.run(Duration.ofSeconds(16));
        simulation.w.net.heal();
        return over(simulation);
    }

    /** 08: a lane is added and taken away again while a zone is out of touch. */
    static FleetSimulation lanesChangedOutOfTouch(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        ConfigurationOperator operator = new ConfigurationOperator(simulation);
        operator.change();
        simulation.w.sim.run(Duration.ofSeconds(4));
        outOfTouch(simulation, hallOfAnotherThanTheHolder(simulation));
        operator.change();
        simulation.w.sim.run(Duration.ofSeconds(9));
        simulation.w.net.heal();
        simulation.w.sim.run(Duration.ofSeconds(3));
        return over(simulation);
    }

    /**
     * 09: the owner of the configuration is cut off from the other control nodes; another configuration is taken; then
     * it is read there.
     */
    static FleetSimulation ownerOfTheLayoutCutOff(long seed, FleetOverrides seams, AtomicReference<String> cut)
            throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        String owner = simulation.w.controlNodes.stream()
                .filter(l -> simulation.w.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        simulation.w.net.cutOff(owner);
        cut.set(owner);
        simulation.w.sim.run(Duration.ofSeconds(4));
        List<String> others =
                simulation.w.controlNodes.stream().filter(l -> !l.equals(owner)).toList();
        new ConfigurationOperator(simulation).changeAt(others);
        simulation.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            simulation.readAt(owner);
            simulation.readAt(others.get(0));
            simulation.w.sim.run(Duration.ofSeconds(1));
        }
        cut.set("");
        simulation.w.net.heal();
        return over(simulation);
    }

    /**
     * 10: processors are marked as leaving while no store hears the core; some have their subscriptions from themselves
     * only.
     */
    static FleetSimulation markedOutOfTouch(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        simulation.traffic(40);
        simulation.w.sim.run(Duration.ofSeconds(2));
        simulation.w.stores.forEach(s -> simulation.w.controlNodes.forEach(l -> simulation.w.net.cut(l, s)));
        simulation.list("p0", true);
        simulation.list("p1", true);
        simulation.w.sim.run(Duration.ofSeconds(10));
        simulation.w.net.heal();
        return over(simulation);
    }

    /** 11: something in between answers "200" in the name of the endpoints, and does nothing. */
    static FleetSimulation somethingInBetween(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        simulation.w.post.middlebox(true);
        simulation.traffic(15);
        simulation.w.sim.run(Duration.ofSeconds(5));
        simulation.w.post.middlebox(false);
        return over(simulation);
    }

    /**
     * 12: two full outages in a row; back means every tenant and every part. From the second a control node and a store
     * come back late, so their parts have to wait out their leases.
     */
    static FleetSimulation twoOutages(long seed, FleetOverrides seams) throws ServiceException {
        FleetSimulation simulation = begun(seed, SMALL, seams);
        for (int i = 0; i < 2; i++) {
            simulation.traffic(20);
            simulation.w.sim.run(Duration.ofSeconds(3));
            simulation.calm();
            simulation.w.all().forEach(h -> simulation.w.host(h).powerLoss());
            simulation.w.sim.run(Duration.ofSeconds(1));
            List<String> late =
                    i == 0 ? List.of() : List.of(simulation.w.controlNodes.get(0), simulation.w.stores.get(0));
            for (String h : simulation.w.all()) {
                if (!late.contains(h)) {
                    simulation.w.restart(h);
                }
            }
            awaitReturn(simulation);
            for (String h : late) {
                simulation.w.restart(h);
            }
        }
        return over(simulation);
    }

    /** Until a submission of every tenant in every part, sent since, was accepted. */
    static Duration awaitReturn(FleetSimulation simulation) {
        Duration restarted = simulation.w.sim.now();
        simulation.w.sim.runUntil(
                () -> {
                    for (int t = 0; t < simulation.w.testConfiguration.tenants(); t++) {
                        for (int n = 0; n < 2; n++) {
                            simulation.plain(t);
                        }
                    }
                    long seen = simulation.w.seen.submitted.stream()
                            .filter(submitted -> submitted.said() == Observations.Said.ACCEPTED
                                    && submitted.sent().compareTo(restarted) > 0)
                            .map(submitted -> submitted.tenant()
                                    + submitted
                                            .handle()
                                            .substring(0, submitted.handle().indexOf('-')))
                            .distinct()
                            .count();
                    return seen >= (long) ServiceNames.MESSAGE_PARTITIONS * simulation.w.testConfiguration.tenants();
                },
                Duration.ofSeconds(40));
        simulation.w.seen.saw(simulation.w.seen.outages, new Observations.Outage(restarted, simulation.w.sim.now()));
        return simulation.w.sim.now().minus(restarted);
    }
}
