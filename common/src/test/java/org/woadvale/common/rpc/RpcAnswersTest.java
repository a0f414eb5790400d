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

/** The rows of docs/calls.md for calls between our own processes, each brought about by a scripted peer. */
class RpcAnswersTest {
    public record Question(String words) implements RepeatableRequest {}

    private static final Duration LONG = Duration.ofSeconds(20);
    private static final int CONNECTING = 50;
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

    /** As below; what was not sent, since a busy machine connects slowly, is asked again. */
    private String asked(String to, String words, Duration limit) {
        for (int i = 0; i < CONNECTING; i++) {
            String outcome = askedOnce(to, words, limit);
            if (!outcome.equals(ErrorKind.UNREACHABLE.name())) {
                return outcome;
            }
        }
        return ErrorKind.UNREACHABLE.name();
    }

    /** The words of the answer, or the kind of the failure. */
    private String askedOnce(String to, String words, Duration limit) {
        return caller.call(to, new Question(words), Question.class, limit)
                .map(Question::words)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind().name()))
                .block(LONG);
    }

    private static byte[] answer(long id, String words) {
        return CODEC.write(new Frame(id, Frame.Kind.RESPONSE, new Question(words)));
    }

    private static boolean say(DataOutputStream out, byte[] frame) throws IOException {
        ScriptedRpcPeer.write(out, frame);
        return true;
    }

    private static String words(Frame request) {
        return ((Question) request.body()).words();
    }

    @Test
    void secondAnswerReachesNobody() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC,
                "",
                (c, frame, out) -> say(out, answer(frame.id(), words(frame)))
                        && say(out, answer(frame.id(), "second to " + words(frame))))) {
            for (String w : List.of("a", "b", "c", "d")) {
                assertEquals(w, asked(scriptedRpcPeer.address(), w, LONG));
            }
            assertEquals(1, scriptedRpcPeer.connections());
        }
    }

    @Test
    void answerThatNobodyAskedForReachesNobody() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC,
                "",
                (c, frame, out) -> say(out, answer(frame.id() + 1_000_000, "another's"))
                        && say(out, answer(frame.id(), words(frame))))) {
            for (String w : List.of("a", "b", "c", "d")) {
                assertEquals(w, asked(scriptedRpcPeer.address(), w, LONG));
            }
        }
    }

    /** The connection goes on to be used: what tells the answers apart is the number in them. */
    @Test
    void answerAfterTheTimeOutIsNotTheNextCallsAnswer() throws Exception {
        AtomicReference<Frame> held = new AtomicReference<>();
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(CODEC, "", (c, frame, out) -> {
            if (held.compareAndSet(null, frame)) {
                return true;
            }
            return say(out, answer(held.get().id(), "late")) && say(out, answer(frame.id(), words(frame)));
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), asked(scriptedRpcPeer.address(), "a", SHORT));
            assertEquals("b", asked(scriptedRpcPeer.address(), "b", LONG));
        }
    }

    @Test
    void closeBeforeTheAnswerLeavesTheOutcomeUnknownAndSendsNothingAgain() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(CODEC, "", (c, frame, out) -> false)) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), asked(scriptedRpcPeer.address(), "a", LONG));
            assertEquals(1, scriptedRpcPeer.requests.size());
        }
    }

    @Test
    void halfAnAnswerIsNoAnswer() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(CODEC, "", (c, frame, out) -> {
            byte[] whole = answer(frame.id(), "whole");
            out.writeInt(whole.length);
            out.write(whole, 0, whole.length - 1);
            out.flush();
            return false;
        })) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), asked(scriptedRpcPeer.address(), "a", LONG));
        }
    }

    /** Both connections number their calls from one; the first call's number is another call's on the second. */
    @Test
    void numbersOfAnEarlierConnectionMeanNothing() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC, "", (c, frame, out) -> c > 1 && say(out, answer(frame.id(), words(frame))))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), asked(scriptedRpcPeer.address(), "a", LONG));
            assertEquals("b", asked(scriptedRpcPeer.address(), "b", LONG));
            assertEquals(2, scriptedRpcPeer.connections());
            assertEquals(
                    scriptedRpcPeer.requests.get(0).id(),
                    scriptedRpcPeer.requests.get(1).id());
        }
    }

    @Test
    void closeBeforeTheGreetingMeansNothingWasSent() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(CODEC, " ", (c, frame, out) -> true)) {
            assertEquals(ErrorKind.UNREACHABLE.name(), askedOnce(scriptedRpcPeer.address(), "a", LONG));
        }
    }

    /** Another node listens at the address: it is not asked, and the failure says that nothing was sent. */
    @Test
    void anotherNodeAtTheAddressIsAskedNothing() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC, "127.0.0.1:1", (c, frame, out) -> say(out, answer(frame.id(), words(frame))))) {
            assertEquals(ErrorKind.UNREACHABLE.name(), askedOnce(scriptedRpcPeer.address(), "a", LONG));
            assertEquals(List.of(), scriptedRpcPeer.requests);
        }
    }

    /** A newer build may refuse by a kind that this one does not know: unknown, and at once. */
    @Test
    void refusalOfAnUnknownKindLeavesTheOutcomeUnknown() throws Exception {
        Frame.ErrorResponse newer = new Frame.ErrorResponse("INVENTED_LATER", "words", List.of());
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC, "", (c, frame, out) -> say(out, CODEC.write(new Frame(frame.id(), Frame.Kind.ERROR, newer))))) {
            ServiceException failure = ServiceException.of(
                    caller.call(scriptedRpcPeer.address(), new Question("a"), Question.class, Duration.ofMinutes(5))
                            .<Throwable>map(question -> new AssertionError("answered"))
                            .onErrorResume(Mono::just)
                            .block(LONG));
            assertEquals(ErrorKind.UNKNOWN_OUTCOME, failure.kind());
        }
    }

    @Test
    void refusalWithoutItsFormLeavesTheOutcomeUnknown() throws Exception {
        try (ScriptedRpcPeer scriptedRpcPeer = new ScriptedRpcPeer(
                CODEC,
                "",
                (c, frame, out) -> say(out, CODEC.write(new Frame(frame.id(), Frame.Kind.ERROR, new Question("x")))))) {
            assertEquals(ErrorKind.UNKNOWN_OUTCOME.name(), asked(scriptedRpcPeer.address(), "a", LONG));
        }
    }

    @Test
    void handlerWithoutAnAnswerIsSaidSo() {
        assertEquals(ErrorKind.INTERNAL.name(), asked(caller.self(), "nothing", LONG));
    }
}
