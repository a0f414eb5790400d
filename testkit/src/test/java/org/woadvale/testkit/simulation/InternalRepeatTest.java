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
 * A node whose first response is lost repeats its request and does not mistake its own success for a rejection
 * (docs/design.md, section 6.11).
 */
class InternalRepeatTest {
    private static final String BUCKET = "bucket/of-nobody";
    private static final String LIST = ServiceNames.processors("book");

    private PlatformFixture fixture;
    private String caller;

    @BeforeEach
    void setUp() throws ServiceException {
        fixture = new PlatformFixture(41, 1);
        caller = fixture.fleet.intakes.get(0);
    }

    /** Loses the first response that is not an error. */
    private static final class FirstResponseLost implements RpcClient {
        private final RpcClient rpc;
        private boolean lost;

        FirstResponseLost(RpcClient rpc) {
            this.rpc = rpc;
        }

        @Override
        public String self() {
            return rpc.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> responseType, Duration timeout) {
            return rpc.call(to, body, responseType, timeout).flatMap(response -> {
                if (lost) {
                    return Mono.just(response);
                }
                lost = true;
                return Mono.error(new OutcomeUnknownException("The answer was lost."));
            });
        }
    }

    private <T> T requestWithLostResponse(String service, RepeatableRequest body, Class<T> type) {
        RpcClient lossy = new FirstResponseLost(fixture.fleet.net.rpc(
                fixture.fleet.host(caller),
                RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types())));
        CoreClient core =
                new CoreClient(lossy, () -> 1L, fixture.fleet.controlNodes, CoreMembers.unknown(), members -> {});
        AtomicReference<T> out = new AtomicReference<>();
        core.ask(ServiceNames.controlPartition(service), body, type).subscribe(out::set, e -> {
            throw new AssertionError(e);
        });
        assertTrue(fixture.fleet.sim.runUntil(() -> out.get() != null, Duration.ofSeconds(5)), "no response");
        return out.get();
    }

    private ControlMessages.SingletonLeaseResponse requestLease(long term, long requestId) {
        return requestWithLostResponse(
                BUCKET,
                new ControlMessages.SingletonLeaseRequest(BUCKET, caller, term, requestId),
                ControlMessages.SingletonLeaseResponse.class);
    }

    @Test
    void repeatedLeaseRequestIsGrantedOnce() {
        ControlMessages.SingletonLeaseResponse first = requestLease(0, 5);
        assertTrue(first.granted());
        assertEquals(1, first.lease().term());
    }

    @Test
    void requestWithATermOnlyRenews() {
        assertEquals(1, requestLease(0, 5).lease().term());
        assertTrue(requestLease(1, 0).granted());
        ControlMessages.SingletonLeaseResponse next = requestLease(0, 6);
        assertEquals(2, next.lease().term(), "a holder that sends no term has restarted");
        ControlMessages.SingletonLeaseResponse former = requestLease(1, 0);
        assertFalse(former.granted());
        assertEquals(2, former.lease().term(), "the lease must not change hands");
    }

    @Test
    void repeatedListUpdateIsAccepted() {
        Processor processor = new Processor("http://10.9.9.9:1", false);
        ControlApiMessages.ProcessorsResponse current = requestWithLostResponse(
                LIST, new ControlApiMessages.GetProcessorsRequest(LIST), ControlApiMessages.ProcessorsResponse.class);
        ControlMessages.UpdateResult result = requestWithLostResponse(
                LIST,
                new ControlMessages.PutProcessors(LIST, Map.of("p", processor), current.version() + 1, 9),
                ControlMessages.UpdateResult.class);
        assertTrue(result.accepted(), "the repeat of an applied update must be accepted");
    }
}
