package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.controlplane.api.ControlApiMessages;
import reactor.core.publisher.Mono;

/**
 * A caller inside the fleet whose first answer is lost does not take its own success for a refusal (docs/design.md,
 * section 6.11).
 */
class InternalRepeatTest {
    private static final String BUCKET = "bucket/of-nobody";
    private static final String LIST = ServiceNames.processors("book");

    private PlatformFixture fixture;
    private String caller;

    @BeforeEach
    void begin() throws ServiceException {
        fixture = new PlatformFixture(41, 1);
        caller = fixture.r.intakes.get(0);
    }

    /** Loses the first answer that is not a refusal. */
    private static final class FirstAnswerLost implements RpcClient {
        private final RpcClient rpc;
        private boolean lost;

        FirstAnswerLost(RpcClient rpc) {
            this.rpc = rpc;
        }

        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return rpc.call(to, body, answer, limit).flatMap(a -> {
                if (lost) {
                    return Mono.just(a);
                }
                lost = true;
                return Mono.error(new OutcomeUnknownException("The answer was lost."));
            });
        }
    }

    private <T> T ask(String service, RepeatableRequest body, Class<T> type) {
        RpcClient lossy = new FirstAnswerLost(fixture.r.net.rpc(
                fixture.r.host(caller),
                RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types())));
        CoreClient core = new CoreClient(lossy, () -> 1L, fixture.r.controlNodes, CoreMembers.unknown(), members -> {});
        AtomicReference<T> out = new AtomicReference<>();
        core.ask(ServiceNames.controlPartition(service), body, type).subscribe(out::set, e -> {
            throw new AssertionError(e);
        });
        assertTrue(fixture.r.sim.runUntil(() -> out.get() != null, Duration.ofSeconds(5)), "no answer");
        return out.get();
    }

    private ControlMessages.SingletonLeaseResponse duty(long term, long requestId) {
        return ask(
                BUCKET,
                new ControlMessages.SingletonLeaseRequest(BUCKET, caller, term, requestId),
                ControlMessages.SingletonLeaseResponse.class);
    }

    @Test
    void dutyIsTakenOnceThoughItWasAskedForTwice() {
        ControlMessages.SingletonLeaseResponse first = duty(0, 5);
        assertTrue(first.granted());
        assertEquals(1, first.lease().term());
    }

    @Test
    void askWithATermOnlyRenews() {
        assertEquals(1, duty(0, 5).lease().term());
        assertTrue(duty(1, 0).granted());
        ControlMessages.SingletonLeaseResponse next = duty(0, 6);
        assertEquals(2, next.lease().term(), "a holder that knows of no term has restarted");
        ControlMessages.SingletonLeaseResponse former = duty(1, 0);
        assertFalse(former.granted());
        assertEquals(2, former.lease().term(), "nothing was taken");
    }

    @Test
    void writtenListIsAYes() {
        Processor processor = new Processor("http://10.9.9.9:1", false);
        ControlApiMessages.ProcessorsResponse now = ask(
                LIST, new ControlApiMessages.GetProcessorsRequest(LIST), ControlApiMessages.ProcessorsResponse.class);
        ControlMessages.UpdateResult done = ask(
                LIST,
                new ControlMessages.PutProcessors(LIST, Map.of("p", processor), now.version() + 1, 9),
                ControlMessages.UpdateResult.class);
        assertTrue(done.accepted(), "its own success is no refusal");
    }
}
