package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.publisher.Mono;

/** The rows of docs/calls.md for calls between nodes, each produced by a scripted peer. */
class RpcAnswersTest {
    public record Question(String words) implements RepeatableRequest {}

    private static final Duration LONG = Duration.ofSeconds(20);
    private static final int MAX_CONNECT_ATTEMPTS = 50;
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final Codec CODEC = new Codec(Map.of(100, List.of(Question.class)));
    private final SystemTimers timers = new SystemTimers(2);
    private TcpRpcClient caller;

    @BeforeEach
    void start() throws Exception {
        RpcRouter router = new RpcRouter().on(Question.class, (from, question) -> {
            return question.words().equals("nothing") ? Mono.empty() : Mono.just(new Question(question.words() + "!"));
        });
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            caller = new TcpRpcClient("127.0.0.1:" + serverSocket.getLocalPort(), CODEC, router, timers);
        }
        caller.start();
    }

    @AfterEach
    void stop() {
        caller.stop();
        timers.close();
    }

    /** As {@link #callOnce}, but repeats a call that was not sent, since connecting is slow on a busy machine. */
    private String callUntilSent(String to, String words, Duration limit) {
        for (int i = 0; i < MAX_CONNECT_ATTEMPTS; i++) {
            String outcome = callOnce(to, words, limit);
            if (!outcome.equals(ErrorKind.UNREACHABLE.name())) {
                return outcome;
            }
        }
        return ErrorKind.UNREACHABLE.name();
    }

    /** Returns the words of the response, or the kind of the failure. */
    private String callOnce(String to, String words, Duration limit) {
        return caller.call(to, new Question(words), Question.class, limit)
                .map(Question::words)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block(LONG);
    }

    private static byte[] response(long id, String words) {
        return CODEC.write(new Frame(id, Frame.Kind.RESPONSE, new Question(words)));
    }

    private static boolean send(DataOutputStream out, byte[] frame) throws IOException {
        ScriptedRpcPeer.write(out, frame);
        return true;
    }

    private static String words(Frame request) {
        return ((Question) request.body()).words();
    }

    @Test
    void duplicateResponseIsIgnored() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC,
                "",
                (connection, frame, out) -> send(out, response(frame.id(), words(frame)))
                        && send(out, response(frame.id(), "second to " + words(frame))))) {
            for (String w : List.of("a", "b", "c", "d")) {
                assertEquals(w, callUntilSent(peer.address(), w, LONG));
            }
            assertEquals(1, peer.connections());
        }
    }

    @Test
    void responseToAnUnknownRequestIsIgnored() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC,
                "",
                (connection, frame, out) -> send(out, response(frame.id() + 1_000_000, "another's"))
                        && send(out, response(frame.id(), words(frame))))) {
            for (String w : List.of("a", "b", "c", "d")) {
                assertEquals(w, callUntilSent(peer.address(), w, LONG));
            }
        }
    }

    /** The connection stays in use; responses are told apart by the request id. */
    @Test
    void responseAfterTheTimeoutDoesNotAnswerTheNextCall() throws Exception {
        AtomicReference<Frame> unanswered = new AtomicReference<>();
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(CODEC, "", (connection, frame, out) -> {
            if (unanswered.compareAndSet(null, frame)) {
                return true;
            }
            return send(out, response(unanswered.get().id(), "late")) && send(out, response(frame.id(), words(frame)));
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), callUntilSent(peer.address(), "a", SHORT));
            assertEquals("b", callUntilSent(peer.address(), "b", LONG));
        }
    }

    @Test
    void closeBeforeTheResponseLeavesTheOutcomeUnknownAndResendsNothing() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(CODEC, "", (connection, frame, out) -> false)) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), callUntilSent(peer.address(), "a", LONG));
            assertEquals(1, peer.requests.size());
        }
    }

    @Test
    void truncatedResponseLeavesTheOutcomeUnknown() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(CODEC, "", (connection, frame, out) -> {
            byte[] complete = response(frame.id(), "complete");
            out.writeInt(complete.length);
            out.write(complete, 0, complete.length - 1);
            out.flush();
            return false;
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), callUntilSent(peer.address(), "a", LONG));
        }
    }

    /**
     * Both connections number their requests from one, so the id of the first request is used again on the second one.
     */
    @Test
    void requestIdsOfAnEarlierConnectionAreNotMatched() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC,
                "",
                (connection, frame, out) -> connection > 1 && send(out, response(frame.id(), words(frame))))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), callUntilSent(peer.address(), "a", LONG));
            assertEquals("b", callUntilSent(peer.address(), "b", LONG));
            assertEquals(2, peer.connections());
            assertEquals(peer.requests.get(0).id(), peer.requests.get(1).id());
        }
    }

    @Test
    void closeBeforeTheHandshakeIsUnreachable() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(CODEC, " ", (connection, frame, out) -> true)) {
            assertEquals(ErrorKind.UNREACHABLE.name(), callOnce(peer.address(), "a", LONG));
        }
    }

    /** Another node listens at the address: no request is sent to it, and the failure says that nothing was sent. */
    @Test
    void anotherNodeAtTheAddressReceivesNoRequest() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC, "127.0.0.1:1", (connection, frame, out) -> send(out, response(frame.id(), words(frame))))) {
            assertEquals(ErrorKind.UNREACHABLE.name(), callOnce(peer.address(), "a", LONG));
            assertEquals(List.of(), peer.requests);
        }
    }

    /**
     * A newer build may return an error kind that this one does not know: the outcome is unknown, without a timeout.
     */
    @Test
    void errorOfAnUnknownKindLeavesTheOutcomeUnknown() throws Exception {
        Frame.ErrorResponse error = new Frame.ErrorResponse("INVENTED_LATER", "words", List.of());
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC,
                "",
                (connection, frame, out) -> send(out, CODEC.write(new Frame(frame.id(), Frame.Kind.ERROR, error))))) {
            ServiceException failure = ServiceException.of(
                    caller.call(peer.address(), new Question("a"), Question.class, Duration.ofMinutes(5))
                            .<Throwable>map(question -> new AssertionError("answered"))
                            .onErrorResume(Mono::just)
                            .block(LONG));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME, failure.kind());
        }
    }

    @Test
    void malformedErrorLeavesTheOutcomeUnknown() throws Exception {
        try (ScriptedRpcPeer peer = new ScriptedRpcPeer(
                CODEC,
                "",
                (connection, frame, out) ->
                        send(out, CODEC.write(new Frame(frame.id(), Frame.Kind.ERROR, new Question("x")))))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), callUntilSent(peer.address(), "a", LONG));
        }
    }

    @Test
    void emptyHandlerResultIsAnInternalError() {
        assertEquals(ErrorKind.INTERNAL.name(), callUntilSent(caller.self(), "nothing", LONG));
    }
}
