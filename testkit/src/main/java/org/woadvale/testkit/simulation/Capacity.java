package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageStateMachine;
import org.woadvale.dataplane.queue.RouteTerms;
import org.woadvale.testkit.stub.TestConfiguration;

/** Measures how much a partition holds, and how long the snapshot of a full one takes compared with a lease. */
public final class Capacity {
    private static final int BODY_BYTES = 1250;

    private Capacity() {}

    /** With all processors down, measures how long 270 submissions/s of 1.25 KB fit into partitions of 2 MB. */
    private static void measureTimeUntilFull() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(
                        1, 8, 3, 4, new TestConfiguration(8, 2, 45, 60, 26), SimulatedFleet.LARGE_RING)
                .startAll();
        simulation.fleet.backends.keySet().forEach(b -> simulation.fleet.deliveryNetwork.down(b, true));
        Duration from = simulation.fleet.sim.now();
        for (int i = 0; i < 270 * 90; i++) {
            int n = i;
            simulation.fleet.sim.after(Duration.ofNanos(i * 1_000_000_000L / 270), () -> {
                String id = "d" + n;
                simulation.submit(
                        n % 8,
                        id,
                        "hold",
                        "",
                        Configurations.write(Map.of("id", id, "delayMs", 0, "body", "x".repeat(BODY_BYTES))),
                        simulation.fleet.intakes,
                        0);
            });
        }
        boolean full = simulation.fleet.sim.runUntil(
                () -> simulation.fleet.observations.submitted.stream()
                        .anyMatch(submitted -> submitted.kind().equals("queue_full")),
                Duration.ofSeconds(90));
        System.out.println("All processors down, 270 x 1.25 KB a second, partitions of 2 MB: "
                + (full ? "first queue_full after " : "no queue_full within ")
                + simulation.fleet.sim.now().minus(from).toSeconds() + " s; "
                + simulation.countsByOutcome());
    }

    /** Measured on this machine, in real time; nothing else accesses the partition meanwhile. */
    private static void measureSnapshot(int mb) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        MessageStateMachine stateMachine = new MessageStateMachine("m0", codec);
        Instant time = Instant.EPOCH;
        for (long i = 1; stateMachine.storedBytes() < (long) mb << 20; i++) {
            stateMachine.apply(
                    i,
                    new MessageCommands.Accept(
                            "t",
                            "l",
                            "id" + i,
                            "",
                            new byte[BODY_BYTES],
                            "h".repeat(64),
                            new RouteTerms("s", 60000, 8, 3000, false),
                            time,
                            time));
        }
        List<Long> durationsMs = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long from = System.nanoTime();
            byte[] snapshot = stateMachine.snapshot();
            MessageStateMachine restored = new MessageStateMachine("m0", codec);
            long made = System.nanoTime();
            restored.restore(snapshot);
            durationsMs.add((made - from) / 1_000_000);
        }
        List<Long> sorted = durationsMs.stream().sorted().toList();
        System.out.println("Snapshot of " + mb + " MB, " + stateMachine.count() + " messages: median " + sorted.get(15)
                + " ms, longest " + sorted.get(29) + " ms, for a lease of 2000 ms; 30 runs.");
    }

    public static void main(String[] args) throws ServiceException {
        for (int mb : new int[] {2, 8, 16}) {
            measureSnapshot(mb);
        }
        measureTimeUntilFull();
    }
}
