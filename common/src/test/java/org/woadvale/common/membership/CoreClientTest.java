package org.woadvale.common.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.rpc.RpcClient;
import reactor.core.publisher.Mono;

/** Which failures are followed by a resend; the core is scripted with one failure for each attempt. */
class CoreClientTest {
    private static final ControlMessages.CoreMembersRequest READ = new ControlMessages.CoreMembersRequest(true);
    private final List<String> sent = new ArrayList<>();

    private CoreClient core(ErrorKind... failures) {
        RpcClient rpc = new RpcClient() {
            @Override
            public String self() {
                return "10.0.0.9:1";
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                sent.add(to);
                int attempt = sent.size();
                return attempt <= failures.length
                        ? Mono.error(ServiceException.of(failures[attempt - 1], "scripted", List.of()))
                        : Mono.just(answer.cast(new ControlMessages.UpdateResult(true)));
            }
        };
        return new CoreClient(
                rpc, () -> 0, List.of("10.0.0.1:1", "10.0.0.2:1"), new CoreMembers(0, List.of()), known -> {});
    }

    private static String outcome(Mono<ControlMessages.UpdateResult> call) {
        return call.map(result -> "done")
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block();
    }

    @Test
    void repeatableRequestIsResentAfterAnUnknownOutcome() {
        CoreClient core = core(ErrorKind.UNKNOWN_OUTCOME, ErrorKind.NOT_OWNER);
        assertEquals("done", outcome(core.ask("c1", READ, ControlMessages.UpdateResult.class)));
        assertEquals(3, sent.size());
    }

    /** An at-most-once request is resent only if it is certain that nothing was executed. */
    @Test
    void atMostOnceRequestIsResentOnlyIfNothingWasExecuted() {
        for (ErrorKind kind : ErrorKind.values()) {
            boolean resentIfRepeatable = ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(kind);
            assertEquals(resentIfRepeatable && kind.definite(), ResendPolicy.IF_NOT_EXECUTED.allows(kind), kind.name());
            assertTrue(kind.definite() || resentIfRepeatable == (kind == ErrorKind.UNKNOWN_OUTCOME), kind.name());
        }
    }

    @Test
    void rejectionIsReturnedToTheCaller() {
        CoreClient core = core(ErrorKind.CONFLICT);
        assertEquals(ErrorKind.CONFLICT.name(), outcome(core.ask("c1", READ, ControlMessages.UpdateResult.class)));
        assertEquals(1, sent.size());
    }
}
