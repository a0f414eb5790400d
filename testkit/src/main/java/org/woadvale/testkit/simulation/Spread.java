package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Role;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Measures in simulated time how evenly partitions and buckets are owned by the nodes, and how often leaders change.
 */
public final class Spread {
    private Spread() {}

    /**
     * Replaces a permanently lost store by a spare; prints how many replicas do not vote at once, and the repair time.
     */
    private static void repair() throws ServiceException {
        System.out.println("| seed | most replicas not voting at once | repaired after the loss | accepted meanwhile "
                + "| rejected or unknown meanwhile |");
        System.out.println("|---|---|---|---|---|");
        for (long seed = 1; seed <= 5; seed++) {
            FleetSimulation simulation = new FleetSimulation(
                            seed, 8, 3, 4, new TestConfiguration(8, 12, 45, 60, 26), SimulatedFleet.LARGE_RING)
                    .startAll();
            simulation.traffic(150);
            simulation.fleet.sim.run(Duration.ofSeconds(20));
            int[] maxNotVoting = {0};
            simulation.fleet.losePermanently(simulation.fleet.stores.get(0));
            String spare = simulation.fleet.newStore();
            Duration from = simulation.fleet.sim.now();
            long accepted = simulation.countsByOutcome().getOrDefault("accepted", 0L);
            long all = simulation.countsByOutcome().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            FleetSimulation.require(
                    simulation.fleet.sim.runUntil(
                            () -> {
                                maxNotVoting[0] = Math.max(
                                        maxNotVoting[0],
                                        simulation.fleet.dataPlaneNode(spare).notVotingCount());
                                return simulation.fleet.repaired();
                            },
                            Duration.ofSeconds(120)),
                    "the lost store was not replaced within 120 s");
            long now = simulation.countsByOutcome().getOrDefault("accepted", 0L) - accepted;
            System.out.println("| " + seed + " | " + maxNotVoting[0] + " | "
                    + simulation.fleet.sim.now().minus(from).toMillis() + " ms | " + now + " | "
                    + (simulation.countsByOutcome().values().stream()
                                    .mapToLong(Long::longValue)
                                    .sum()
                            - all
                            - now) + " |");
        }
    }

    public static void main(String[] args) throws ServiceException {
        if (args.length > 0 && args[0].equals("repair")) {
            repair();
            return;
        }
        System.out.println("| fleet | when | message partitions led by each store | control partitions by each node "
                + "| buckets by each intake | sum of the message partition terms |");
        System.out.println("|---|---|---|---|---|---|");
        for (int[] shape : new int[][] {{8, 3}, {7, 4}}) {
            FleetSimulation simulation = new FleetSimulation(
                            1,
                            shape[0],
                            shape[1],
                            4,
                            new TestConfiguration(8, 12, 45, 60, 26),
                            SimulatedFleet.SMALL_RING)
                    .startAll();
            String name = shape[0] + "+" + shape[1] + "+3";
            simulation.fleet.sim.run(Duration.ofSeconds(10));
            row(simulation, name, "10 s after the start");
            simulation.fleet.kill(simulation.fleet.stores.get(0));
            simulation.fleet.kill(simulation.fleet.controlNodes.get(0));
            simulation.fleet.kill(simulation.fleet.intakes.get(0));
            simulation.fleet.sim.run(Duration.ofSeconds(8));
            row(simulation, name, "first of each kind killed 8 s ago");
            for (String h : simulation.fleet.all()) {
                simulation.fleet.restart(h);
            }
            simulation.fleet.sim.run(Duration.ofSeconds(15));
            row(simulation, name, "15 s after their restart");
            simulation.fleet.sim.run(Duration.ofSeconds(60));
            row(simulation, name, "a minute later");
        }
    }

    private static void row(FleetSimulation simulation, String name, String when) {
        SimulatedFleet fleet = simulation.fleet;
        List<Long> stores = new ArrayList<>();
        List<Long> controlNodes = new ArrayList<>();
        List<Integer> buckets = new ArrayList<>();
        long terms = 0;
        for (String store : fleet.stores) {
            stores.add(fleet.host(store).alive() ? fleet.dataPlaneNode(store).ledPartitionCount() : 0);
        }
        for (String node : fleet.controlNodes) {
            controlNodes.add(
                    fleet.host(node).alive()
                            ? ServiceNames.controlPartitions().stream()
                                    .filter(partition -> fleet.controlNode(node)
                                                    .replica(partition)
                                                    .role()
                                            == Role.LEADER)
                                    .count()
                            : 0);
        }
        for (String intake : fleet.intakes) {
            buckets.add(
                    fleet.host(intake).alive()
                            ? fleet.dataPlaneNode(intake).ownedBuckets().size()
                            : 0);
        }
        for (String partition : ServiceNames.messagePartitions()) {
            terms += fleet.stores.stream()
                    .filter(s -> fleet.host(s).alive())
                    .mapToLong(s -> fleet.dataPlaneNode(s).term(partition))
                    .max()
                    .orElse(0);
        }
        System.out.println("| " + name + " | " + when + " | " + stores + " | " + controlNodes + " | " + buckets + " | "
                + terms + " |");
    }
}
