package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageCommands.ClockRequest;
import org.woadvale.dataplane.queue.MessageCommands.ClockResponse;
import reactor.core.publisher.Mono;

class SimNetTest {
    private static final int CALLS = 200;
    private static final Duration TIME_BETWEEN_CALLS = Duration.ofSeconds(1);

    /**
     * Guards against a doubled frame whose copy overtakes it: the callee then serves the copy, and the caller gets the
     * answer to the late original, for example a refusal of what has been done.
     */
    @Test
    void copyOfADoubledFrameIsServedAfterItsOriginal() {
        Simulator sim = new Simulator(1);
        SimNet net = new SimNet(sim);
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        Harness caller = new Harness("10.0.0.1:1", sim, net);
        Harness callee = new Harness("10.0.0.2:1", sim, net);
        caller.boot(new RpcRouter());
        List<Long> served = new ArrayList<>();
        callee.boot(new RpcRouter().on(ClockRequest.class, (from, request) -> {
            served.add((long) served.size());
            return Mono.just(new ClockResponse("one", Duration.ofMillis(served.size() - 1)));
        }));
        net.setLossAndDuplication(0, 1);
        List<Long> answers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            caller.rpc(codec)
                    .call(callee.host().address, new ClockRequest(true), ClockResponse.class, Duration.ofSeconds(1))
                    .subscribe(response -> answers.add(response.time().toMillis()));
            sim.run(TIME_BETWEEN_CALLS);
        }
        assertEquals(2 * CALLS, served.size());
        assertEquals(LongStream.range(0, CALLS).map(call -> 2 * call).boxed().toList(), answers);
    }
}
