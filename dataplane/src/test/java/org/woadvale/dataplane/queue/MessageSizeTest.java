package org.woadvale.dataplane.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;

/**
 * Guards against limits that count fewer bytes than are stored: a long request head was counted as 200 bytes
 * (review/1).
 */
class MessageSizeTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
    private static final Instant NOW = Instant.ofEpochSecond(1_800_000_000L, 123_456_789);
    /** An estimate far above the real size would refuse messages that there is room for. */
    private static final int LARGEST_EXCESS = 100;

    private static Message message(Random random, String text, Map<String, String> envelope) {
        RouteTerms terms = new RouteTerms("service-" + text, 90_000, 3, 1500, true);
        return Message.accepted(
                "m7-" + random.nextInt(1_000_000),
                random.nextInt(1_000_000),
                new MessageCommands.Accept(
                        "tenant" + text,
                        "r-lane" + text,
                        "id" + text,
                        "order" + text,
                        new byte[random.nextInt(3000)],
                        "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
                        terms,
                        NOW,
                        NOW,
                        envelope));
    }

    private static Message done(Message message) {
        Message running = message.transition(
                MessageState.RUNNING, 1, 1, "i-7f3a91c2", NOW, NOW, "", NOW, "10.128.0.9:8080/i-7f3a91c2");
        return running.transition(
                MessageState.DONE, 1, 1, "i-7f3a91c2", Instant.MAX, NOW, "seal-0123456789", NOW, running.destination());
    }

    private static void assertSizeIsATightBound(Message message) {
        int bytes = CODEC.write(message).length;
        assertTrue(bytes <= message.size(), bytes + " bytes, counted as " + message.size());
        assertTrue(bytes + LARGEST_EXCESS >= message.size(), bytes + " bytes, counted as " + message.size());
    }

    @Test
    void sizeIsATightBoundOnTheStoredBytes() {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            String text = (i % 3 == 0 ? "x" : i % 3 == 1 ? "\u00e9" : "\u20ac").repeat(random.nextInt(40));
            Map<String, String> envelope = new HashMap<>();
            envelope.put("target", "/a/" + "x".repeat(random.nextInt(15_000)));
            envelope.put("host", "lode17.example");
            Message message = message(random, text, envelope);
            assertSizeIsATightBound(message);
            assertSizeIsATightBound(done(message));
            assertSizeIsATightBound(message.withRecordedEnd(1 + random.nextInt(3000)));
        }
    }

    @Test
    void longHeadsCountInFull() {
        Message message = message(new Random(2), "", Map.of("target", "x".repeat(15_000)));
        assertTrue(message.size() > 15_000);
    }

    /** The size of a snapshot is estimated without creating one. */
    @Test
    void snapshotHasNoMoreBytesThanEstimated() throws ServiceException {
        MessageStateMachine machine = new MessageStateMachine("m7", CODEC);
        Random random = new Random(5);
        for (int i = 1; i <= 500; i++) {
            Map<String, String> envelope = Map.of("target", "x".repeat(random.nextInt(3000)));
            Message message = message(random, "-" + i, envelope);
            machine.apply(
                    i,
                    new MessageCommands.Accept(
                            message.tenant(),
                            message.lane(),
                            message.id(),
                            message.orderKey(),
                            message.body(),
                            message.hash(),
                            message.terms(),
                            NOW,
                            NOW,
                            envelope));
        }
        long bytes = machine.snapshot().length;
        long counted = machine.snapshotBytes().orElseThrow();
        assertTrue(bytes <= counted && counted < bytes + 500 * LARGEST_EXCESS, bytes + " bytes, counted as " + counted);
    }

    /** Body and envelope are dropped when a message is done, and are no longer counted. */
    @Test
    void endedMessagesCountOnlyWhatTheyRetain() {
        Message message = message(new Random(3), "", Map.of("target", "x".repeat(15_000)));
        assertTrue(done(message).size() < 700, "counted as " + done(message).size());
    }

    @Test
    void storedBytesFollowEveryChange() {
        MessageIndex index = new MessageIndex();
        Message message = message(new Random(4), "", Map.of("target", "x".repeat(15_000)));
        index.add(message);
        assertEquals(message.size(), index.liveBytes());
        Message ended = done(message);
        index.put(Optional.of(message), ended);
        assertEquals(0, index.liveBytes());
        assertEquals(ended.size(), index.endedBytes());
        index.expireEnded(Instant.MAX, Instant.MAX);
        assertEquals(0, index.endedBytes());
    }
}
