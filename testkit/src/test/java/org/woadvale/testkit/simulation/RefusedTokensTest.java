package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.QueueFullException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.testkit.stub.TestConfiguration;
import reactor.core.publisher.Mono;

/** Rate-limit tokens of submissions that a store has rejected. */
class RefusedTokensTest {
    private static final int RATE = 20;
    private static final int BURST = 30;
    private static final int INTERVAL_MS = 20;
    private static final Duration LOAD_TIME = Duration.ofSeconds(10);

    private final AtomicLong submissions = new AtomicLong();

    /** Rejects every second submission that reaches a store with "queue full". */
    private RpcClient rejectEverySecondSubmission(RpcClient rpc) {
        return new RpcClient() {
            @Override
            public String self() {
                return rpc.self();
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> type, Duration limit) {
                boolean rejected =
                        body instanceof MessageCommands.AcceptRequest && submissions.incrementAndGet() % 2 == 0;
                return rejected
                        ? rpc.call(to, new MessageCommands.ClockRequest(true), Object.class, limit)
                                .then(Mono.error(new QueueFullException("The part has no room.")))
                        : rpc.call(to, body, type, limit);
            }
        };
    }

    /** Guards against a token returned twice, by the attempt and by the stage, so that the limit is exceeded. */
    @Test
    void queueFullRejectionReturnsItsTokenOnce() throws ServiceException {
        FleetOverrides overrides = FleetOverrides.none().withRpc((address, rpc) -> rejectEverySecondSubmission(rpc));
        FleetSimulation simulation = new FleetSimulation(
                        3, 1, 3, 2, new TestConfiguration(1, 2, RATE, BURST, 26), SimulatedFleet.LARGE_RING, overrides)
                .startAll();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        String intake = simulation.fleet.intakes.get(0);
        for (int ms = 0; ms < LOAD_TIME.toMillis(); ms += INTERVAL_MS) {
            simulation.fleet.sim.after(Duration.ofMillis(ms), () -> {
                simulation.submitUnorderedAt(0, List.of(intake));
                simulation.submitUnorderedAt(0, List.of(intake));
            });
        }
        simulation.fleet.sim.run(LOAD_TIME.plusSeconds(1));
        long accepted = simulation.countsByOutcome().getOrDefault("accepted", 0L);
        assertTrue(
                simulation.countsByOutcome().getOrDefault("queue_full", 0L) > RATE,
                "too few submissions were rejected");
        long allowance = BURST + RATE * (LOAD_TIME.toSeconds() + 1);
        assertTrue(accepted <= allowance, accepted + " accepted, but the limit allows " + allowance);
        simulation.followExecuted();
        assertTrue(
                simulation.settle(Duration.ofSeconds(60)), "some accepted messages have not reached a terminal state");
        assertEquals(List.of(), simulation.violations());
    }
}
