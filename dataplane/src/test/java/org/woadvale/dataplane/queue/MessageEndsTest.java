package org.woadvale.dataplane.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Instant;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;

/** Guards against a silent limit on the number of attempts whose outcome is recorded (review/5). */
class MessageEndsTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
    private static final int ATTEMPTS = 2000;

    private static Message message() {
        return Message.accepted(
                "m0-1",
                1,
                new MessageCommands.Accept(
                        "tenant",
                        "lane",
                        "id",
                        "",
                        new byte[3],
                        "hash",
                        new RouteTerms("service", 60_000, 3, 1000, false),
                        Instant.EPOCH,
                        Instant.EPOCH));
    }

    @Test
    void everyRecordedEndIsReportedAndNoOther() throws ServiceException {
        Random random = new Random(1);
        TreeSet<Integer> recorded = new TreeSet<>();
        Message message = message();
        for (int attempt = 0; attempt <= ATTEMPTS; attempt++) {
            if (random.nextInt(3) > 0) {
                message = message.withRecordedEnd(attempt);
                recorded.add(attempt);
            }
        }
        Message stored = CODEC.read(CODEC.write(message), Message.class);
        for (int attempt = 1; attempt <= ATTEMPTS + 100; attempt++) {
            assertEquals(recorded.contains(attempt), message.hasRecordedEnd(attempt), "attempt " + attempt);
            assertEquals(recorded.contains(attempt), stored.hasRecordedEnd(attempt), "attempt " + attempt + ", stored");
        }
        assertFalse(stored.hasRecordedEnd(0), "no attempt");
        assertFalse(stored.hasRecordedEnd(-1), "no attempt");
    }
}
