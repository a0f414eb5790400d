package org.woadvale.testkit.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.TcpRpcClient;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Guards against calls to a running peer that end with an unknown outcome for as long as TCP keeps a connection that is
 * dead at the peer.
 */
class SilentConnectionTest {
    public record EchoRequest(String text) implements RepeatableRequest {}

    private static final Codec CODEC = new Codec(Map.of(100, List.of(EchoRequest.class)));
    private static final String SLOW = "slow";
    private static final Duration SLOW_ANSWER = Duration.ofMillis(2500);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    /** Half of the 4.2 s after which users count a machine as back. */
    private static final Duration RECONNECT_LIMIT = Duration.ofMillis(2100);

    private static final int CALLS_BESIDE_A_SLOW_ONE = 8;

    private final SystemTimers timers = new SystemTimers(2);
    private TcpRpcClient caller;
    private TcpRpcClient peer;
    private SilentRelay relay;

    @BeforeEach
    void start() throws Exception {
        int peerPort = freePort();
        relay = new SilentRelay(peerPort);
        RpcRouter router = new RpcRouter().on(EchoRequest.class, (from, request) -> answer(request));
        peer = new TcpRpcClient(relay.address(), "127.0.0.1:" + peerPort, CODEC, router, timers);
        caller = new TcpRpcClient("127.0.0.1:" + freePort(), CODEC, new RpcRouter(), timers);
        peer.start();
        caller.start();
    }

    @AfterEach
    void stop() throws Exception {
        caller.stop();
        peer.stop();
        relay.close();
        timers.close();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Mono<EchoRequest> answer(EchoRequest request) {
        Mono<EchoRequest> answer = Mono.just(new EchoRequest(request.text() + "!"));
        return request.text().equals(SLOW) ? answer.delayElement(SLOW_ANSWER) : answer;
    }

    /** The text of the answer, or the kind of the failure. */
    private String callResult(String text, Duration limit) {
        return caller.call(peer.self(), new EchoRequest(text), EchoRequest.class, limit)
                .map(EchoRequest::text)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block(LONG_TIMEOUT);
    }

    @Test
    void peerWhoseConnectionDiedWithoutAResetIsReachedAgain() {
        assertEquals("first!", callResult("first", LONG_TIMEOUT));
        relay.silence();
        long until = System.nanoTime() + RECONNECT_LIMIT.toNanos();
        boolean reached = false;
        while (!reached && System.nanoTime() < until) {
            reached = callResult("again", CALL_TIMEOUT).equals("again!");
        }
        assertTrue(reached, "no call within " + RECONNECT_LIMIT + " reached the peer");
    }

    @Test
    void connectionOfASlowPeerThatAnswersOthersIsKept() {
        Mono<String> slow = Mono.fromCallable(() -> callResult(SLOW, LONG_TIMEOUT))
                .subscribeOn(Schedulers.boundedElastic())
                .cache();
        slow.subscribe();
        for (int i = 0; i < CALLS_BESIDE_A_SLOW_ONE; i++) {
            assertEquals("UNKNOWN_OUTCOME", callResult(SLOW, CALL_TIMEOUT));
            assertEquals("quick!", callResult("quick", LONG_TIMEOUT));
        }
        assertEquals("slow!", slow.block(LONG_TIMEOUT));
        assertEquals(1, relay.connections());
    }
}
