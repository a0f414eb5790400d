package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** One scenario for each never-line: it brings about the failure that the line is meant for. design 12.3 */
final class FailureScenarios {
    private static final TestConfiguration SMALL = new TestConfiguration(3, 2, 20, 30, 26);

    private FailureScenarios() {}

    private static FleetSimulation begun(long seed, TestConfiguration s, Seams seams) throws ServiceException {
        FleetSimulation v = new FleetSimulation(seed, 3, 3, 4, s, World.LARGE_RING, seams).embark();
        v.w.sim.run(Duration.ofSeconds(2));
        return v;
    }

    private static FleetSimulation over(FleetSimulation v) {
        v.followWhatRan();
        v.settle(Duration.ofSeconds(120));
        return v;
    }

    /** 01: all machines lose their power under traffic. */
    static FleetSimulation powerLossEverywhere(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.traffic(30);
        v.w.sim.run(Duration.ofSeconds(4));
        v.calm();
        v.w.all().forEach(h -> v.w.host(h).powerLoss());
        v.w.sim.run(Duration.ofSeconds(1));
        for (String h : v.w.all()) {
            v.w.restart(h);
        }
        v.w.sim.run(Duration.ofSeconds(8));
        return over(v);
    }

    /** 02: processors do the work, and then something breaks. */
    static FleetSimulation errorsAfterTheWork(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.w.backends.values().forEach(b -> b.behave(new Backend.Manner(Duration.ofMillis(5), 0, 0, 0, 0.5, "")));
        v.traffic(15);
        v.w.sim.run(Duration.ofSeconds(6));
        return over(v);
    }

    /** 03: the stores hear an intake, but it does not hear them. */
    static FleetSimulation answersDoNotComeBack(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.traffic(30);
        v.w.sim.run(Duration.ofSeconds(2));
        v.w.stores.forEach(s -> v.w.net.cutOneWay(s, v.w.intakes.get(0)));
        v.w.sim.run(Duration.ofSeconds(5));
        v.calm();
        v.w.sim.run(Duration.ofSeconds(7));
        v.w.net.heal();
        return over(v);
    }

    /** 04: work that takes longer than an attempt may. */
    static FleetSimulation workLongerThanAnAttempt(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.w.backends.values().forEach(b -> b.behave(new Backend.Manner(Duration.ofSeconds(5), 0, 0, 0)));
        v.traffic(8);
        v.w.sim.run(Duration.ofSeconds(6));
        v.calm();
        v.w.sim.run(Duration.ofSeconds(20));
        v.w.backends.values().forEach(b -> b.behave(Backend.Manner.good()));
        return over(v);
    }

    /** 05: the streams between an intake and the stores stall for a minute under a tenant's flood. */
    static FleetSimulation stalledStreams(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        String i = v.w.intakes.get(0);
        for (int n = 0; n < 20; n++) {
            v.plainAt(1, List.of(i));
        }
        v.w.sim.run(Duration.ofSeconds(1));
        v.w.stores.forEach(s -> v.w.net.stall(i, s));
        for (int ms = 0; ms < 60000; ms += 50) {
            v.w.sim.after(Duration.ofMillis(ms), () -> v.plainAt(0, List.of(i)));
        }
        v.w.sim.run(Duration.ofSeconds(60));
        v.w.net.heal();
        v.w.sim.run(Duration.ofSeconds(2));
        return over(v);
    }

    /** 06: streams to an endpoint open after anything up to 3 s, all at once in the end. */
    static FleetSimulation streamsThatOpenSlowly(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, new TestConfiguration(3, 1, 60, 60, 26), seams);
        for (int ms = 0; ms < 14000; ms += 20) {
            v.w.sim.after(Duration.ofMillis(ms), () -> v.check(0));
        }
        String e = TestConfiguration.endpoint(0);
        for (int ms = 0; ms < 3000; ms += 50) {
            Duration left = Duration.ofMillis(3000 - ms);
            v.w.sim.after(Duration.ofMillis(7000 + ms), () -> v.w.post.slowStreams(e, left));
        }
        v.w.sim.after(Duration.ofMillis(10000), () -> v.w.post.slowStreams(e, Duration.ZERO));
        v.w.sim.run(Duration.ofSeconds(14));
        return over(v);
    }

    /** The nodes of a zone hear nothing from the core any more; among themselves they do. */
    private static void outOfTouch(FleetSimulation v, int zone) {
        for (String n : List.of(v.w.intakes.get(zone), v.w.stores.get(zone))) {
            v.w.lighthouses.forEach(l -> v.w.net.cut(l, n));
        }
    }

    /** Its intake goes on getting passes for the tenant that is used here, so that nothing but old subscriptions can stop it. */
    private static int hallOfAnotherThanTheHolder(FleetSimulation v) {
        return v.w.pilot(v.w.intakes.get(0)).ownedBuckets().contains("tenant/" + TestConfiguration.tenant(2)) ? 1 : 0;
    }

    /** 07: a key is withdrawn while a zone is out of touch; it goes on being used, also for reads. */
    static FleetSimulation keyWithdrawnOutOfTouch(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        new ConfigurationOperator(v).withdraw();
        v.w.sim.run(Duration.ofMillis(1800));
        outOfTouch(v, hallOfAnotherThanTheHolder(v));
        v.w.sim.run(Duration.ofSeconds(16));
        v.w.net.heal();
        return over(v);
    }

    /** 08: a lane is added and taken away again while a zone is out of touch. */
    static FleetSimulation lanesChangedOutOfTouch(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        ConfigurationOperator operator = new ConfigurationOperator(v);
        operator.change();
        v.w.sim.run(Duration.ofSeconds(4));
        outOfTouch(v, hallOfAnotherThanTheHolder(v));
        operator.change();
        v.w.sim.run(Duration.ofSeconds(9));
        v.w.net.heal();
        v.w.sim.run(Duration.ofSeconds(3));
        return over(v);
    }

    /** 09: the owner of the configuration is cut off from the other control nodes; another configuration is taken; then it is read there. */
    static FleetSimulation ownerOfTheLayoutCutOff(long seed, Seams seams, AtomicReference<String> cut)
            throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        String owner = v.w.lighthouses.stream()
                .filter(l -> v.w.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        v.w.net.cutOff(owner);
        cut.set(owner);
        v.w.sim.run(Duration.ofSeconds(4));
        List<String> others =
                v.w.lighthouses.stream().filter(l -> !l.equals(owner)).toList();
        new ConfigurationOperator(v).changeAt(others);
        v.w.sim.run(Duration.ofSeconds(3));
        for (int i = 0; i < 4; i++) {
            v.readAt(owner);
            v.readAt(others.get(0));
            v.w.sim.run(Duration.ofSeconds(1));
        }
        cut.set("");
        v.w.net.heal();
        return over(v);
    }

    /** 10: processors are marked as leaving while no store hears the core; some have their subscriptions from themselves only. */
    static FleetSimulation markedOutOfTouch(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.traffic(40);
        v.w.sim.run(Duration.ofSeconds(2));
        v.w.stores.forEach(s -> v.w.lighthouses.forEach(l -> v.w.net.cut(l, s)));
        v.list("p0", true);
        v.list("p1", true);
        v.w.sim.run(Duration.ofSeconds(10));
        v.w.net.heal();
        return over(v);
    }

    /** 11: something in between answers "200" in the name of the endpoints, and does nothing. */
    static FleetSimulation somethingInBetween(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        v.w.post.middlebox(true);
        v.traffic(15);
        v.w.sim.run(Duration.ofSeconds(5));
        v.w.post.middlebox(false);
        return over(v);
    }

    /**
     * 12: two full outages in a row; back means every tenant and every part. From the second a control node and a store
     * come back late, so their parts have to wait out their leases.
     */
    static FleetSimulation twoOutages(long seed, Seams seams) throws ServiceException {
        FleetSimulation v = begun(seed, SMALL, seams);
        for (int i = 0; i < 2; i++) {
            v.traffic(20);
            v.w.sim.run(Duration.ofSeconds(3));
            v.calm();
            v.w.all().forEach(h -> v.w.host(h).powerLoss());
            v.w.sim.run(Duration.ofSeconds(1));
            List<String> late = i == 0 ? List.of() : List.of(v.w.lighthouses.get(0), v.w.stores.get(0));
            for (String h : v.w.all()) {
                if (!late.contains(h)) {
                    v.w.restart(h);
                }
            }
            awaitReturn(v);
            for (String h : late) {
                v.w.restart(h);
            }
        }
        return over(v);
    }

    /** Until a submission of every tenant in every part, sent since, was accepted. */
    static Duration awaitReturn(FleetSimulation v) {
        Duration restarted = v.w.sim.now();
        v.w.sim.runUntil(
                () -> {
                    for (int t = 0; t < v.w.testConfiguration.tenants(); t++) {
                        for (int n = 0; n < 2; n++) {
                            v.plain(t);
                        }
                    }
                    long seen = v.w.seen.submitted.stream()
                            .filter(h -> h.said() == Observations.Said.ACCEPTED
                                    && h.sent().compareTo(restarted) > 0)
                            .map(h -> h.tenant()
                                    + h.handle().substring(0, h.handle().indexOf('-')))
                            .distinct()
                            .count();
                    return seen >= (long) ServiceNames.MESSAGE_PARTS * v.w.testConfiguration.tenants();
                },
                Duration.ofSeconds(40));
        v.w.seen.saw(v.w.seen.outages, new Observations.Outage(restarted, v.w.sim.now()));
        return v.w.sim.now().minus(restarted);
    }
}
