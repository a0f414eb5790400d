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

/** What is sent again after which failure; the core is a list of what each sending meets. */
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
                int n = sent.size();
                return n <= failures.length
                        ? Mono.error(ServiceException.of(failures[n - 1], "scripted", List.of()))
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
    void repeatableRequestIsSentAgainAfterAnUnknownOutcome() {
        CoreClient core = core(ErrorKind.UNKNOWN_OUTCOME, ErrorKind.NOT_OWNER);
        assertEquals("done", outcome(core.ask("c1", READ, ControlMessages.UpdateResult.class)));
        assertEquals(3, sent.size());
    }

    /** What may be executed once only is sent again where nothing was executed, and never while that is unknown. */
    @Test
    void onlyAProofThatNothingWasExecutedLetsAnAtMostOnceRequestBeSentAgain() {
        for (ErrorKind kind : ErrorKind.values()) {
            boolean elsewhere = ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(kind);
            assertEquals(elsewhere && kind.definite(), ResendPolicy.IF_NOT_EXECUTED.allows(kind), kind.name());
            assertTrue(kind.definite() || elsewhere == (kind == ErrorKind.UNKNOWN_OUTCOME), kind.name());
        }
    }

    @Test
    void refusalIsHandedToTheCaller() {
        CoreClient core = core(ErrorKind.CONFLICT);
        assertEquals(ErrorKind.CONFLICT.name(), outcome(core.ask("c1", READ, ControlMessages.UpdateResult.class)));
        assertEquals(1, sent.size());
    }
}
