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

/** How much a part holds, and how long making a view of a full one takes against a lease. */
public final class Capacity {
    private static final int BODY = 1250;

    private Capacity() {}

    /** All processors are down: how long submissions of 1.25 KB at 270 a second are taken, parts of 2 MB. */
    private static void down() throws ServiceException {
        FleetSimulation simulation = new FleetSimulation(
                        1, 8, 3, 4, new TestConfiguration(8, 2, 45, 60, 26), SimulatedFleet.LARGE_RING)
                .startAll();
        simulation.w.backends.keySet().forEach(b -> simulation.w.post.down(b, true));
        Duration from = simulation.w.sim.now();
        for (int i = 0; i < 270 * 90; i++) {
            int n = i;
            simulation.w.sim.after(Duration.ofNanos(i * 1_000_000_000L / 270), () -> {
                String id = "d" + n;
                simulation.submit(
                        n % 8,
                        id,
                        "hold",
                        "",
                        Configurations.write(Map.of("id", id, "delayMs", 0, "body", "x".repeat(BODY))),
                        simulation.w.intakes,
                        0);
            });
        }
        boolean full = simulation.w.sim.runUntil(
                () -> simulation.w.seen.submitted.stream()
                        .anyMatch(submitted -> submitted.kind().equals("queue_full")),
                Duration.ofSeconds(90));
        System.out.println("All processors down, 270 x 1.25 KB a second, parts of 2 MB: "
                + (full ? "first queue_full after " : "none full within ")
                + simulation.w.sim.now().minus(from).toSeconds() + " s; "
                + simulation.kinds());
    }

    /** On this machine; nobody gets at the part meanwhile. */
    private static void view(int mb) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        MessageStateMachine stateMachine = new MessageStateMachine("m0", codec);
        Instant t = Instant.EPOCH;
        for (long i = 1; stateMachine.storedBytes() < (long) mb << 20; i++) {
            stateMachine.apply(
                    i,
                    new MessageCommands.Accept(
                            "t",
                            "l",
                            "id" + i,
                            "",
                            new byte[BODY],
                            "h".repeat(64),
                            new RouteTerms("s", 60000, 8, 3000, false),
                            t,
                            t));
        }
        List<Long> ms = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long from = System.nanoTime();
            byte[] view = stateMachine.snapshot();
            MessageStateMachine other = new MessageStateMachine("m0", codec);
            long made = System.nanoTime();
            other.restore(view);
            ms.add((made - from) / 1_000_000);
        }
        List<Long> sorted = ms.stream().sorted().toList();
        System.out.println("View of " + mb + " MB, " + stateMachine.count() + " messages: median " + sorted.get(15)
                + " ms, longest " + sorted.get(29) + " ms of a claim of 2000 ms; thirty times.");
    }

    public static void main(String[] args) throws ServiceException {
        for (int mb : new int[] {2, 8, 16}) {
            view(mb);
        }
        down();
    }
}
