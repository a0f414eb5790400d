package org.woadvale.controlplane.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;

/** Revisions, originals and repeated updates of the configuration log. */
class ConfigurationLogTest {
    private final ConfigurationLog log = new ConfigurationLog(1 << 20);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the result of an accepted update, or the failure of a rejected one. */
    private static Object decide(ConfigurationLog log, ControlMessages.PutConfiguration update) {
        try {
            return log.put(update);
        } catch (ServiceException failure) {
            return failure;
        }
    }

    private Object put(String id, long base, long revision, String original) {
        return decide(
                log, new ControlMessages.PutConfiguration(id, base, bytes("{}"), "me", revision, bytes(original)));
    }

    private static ErrorKind kindOf(Object o) {
        return ((ServiceException) o).kind();
    }

    @Test
    void suppliedRevisionBecomesTheVersionAndMaySkipNumbers() {
        assertEquals(new ControlMessages.ConfigurationAccepted(3, false), put("a", 0, 3, "A"));
        assertEquals(new ControlMessages.ConfigurationAccepted(17, false), put("b", 3, 17, "B"));
        assertEquals(17, log.version());
        assertEquals(
                new ControlMessages.ConfigurationAccepted(18, false),
                decide(log, new ControlMessages.PutConfiguration("c", 17, bytes("{}"), "me")));
    }

    @Test
    void revisionNotAboveTheCurrentOneIsInvalid() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.INVALID_LAYOUT, kindOf(put("b", 5, 5, "B")));
        assertEquals(ErrorKind.INVALID_LAYOUT, kindOf(put("c", 5, 4, "C")));
        assertEquals(5, log.version());
    }

    @Test
    void secondUpdateOnTheSameBaseIsStale() {
        put("a", 0, 5, "A");
        assertEquals(new ControlMessages.ConfigurationAccepted(7, false), put("b", 5, 7, "B"));
        Object stale = put("c", 5, 8, "C");
        assertEquals(ErrorKind.STALE_BASE, kindOf(stale));
        assertTrue(((ServiceException) stale).details().contains("7"), "the current version is in the details");
    }

    @Test
    void repeatedUpdateGetsTheSameAnswerLater() {
        put("a", 0, 5, "A");
        put("b", 5, 7, "B");
        assertEquals(new ControlMessages.ConfigurationAccepted(5, true), put("a", 0, 5, "A"));
        assertEquals(new ControlMessages.ConfigurationAccepted(7, true), put("b", 5, 7, "B"));
        assertEquals(ErrorKind.CONFLICT, kindOf(put("a", 0, 5, "other text")));
    }

    /** Two different texts are two updates even if they describe the same configuration. */
    @Test
    void repeatsAreIdentifiedByTheOriginal() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.CONFLICT, kindOf(put("a", 0, 5, "A ")));
        assertArrayEquals(bytes("A"), log.revisions().get(0).original());
    }

    @Test
    void restoredLogGivesTheSameAnswers() {
        put("a", 0, 5, "A");
        put("b", 5, 7, "B");
        ConfigurationLog other = new ConfigurationLog(1 << 20);
        other.restore(log.revisions(), log.acceptedUpdates(), log.rejectedUpdates());
        assertEquals(7, other.version());
        assertArrayEquals(bytes("B"), other.revisions().get(1).original());
        assertEquals(
                new ControlMessages.ConfigurationAccepted(5, true),
                decide(other, new ControlMessages.PutConfiguration("a", 0, bytes("{}"), "me", 5, bytes("A"))));
    }

    /** Originals count towards the size limit; the request ids stay remembered. */
    @Test
    void sizeLimitIncludesOriginals() {
        ConfigurationLog small = new ConfigurationLog(1000);
        long base = 0;
        for (int i = 1; i <= 20; i++) {
            decide(
                    small,
                    new ControlMessages.PutConfiguration(
                            "id" + i, base, bytes("{}"), "me", i * 3L, bytes("x".repeat(300))));
            base = i * 3L;
        }
        assertEquals(60, small.version());
        assertTrue(small.revisions().size() <= 3, small.revisions().size() + " retained");
        assertEquals(
                new ControlMessages.ConfigurationAccepted(3, true),
                decide(
                        small,
                        new ControlMessages.PutConfiguration("id1", 0, bytes("{}"), "me", 3, bytes("x".repeat(300)))));
    }

    private static ConfigurationLog restored(ConfigurationLog from) {
        ConfigurationLog other = new ConfigurationLog(1 << 20);
        other.restore(from.revisions(), from.acceptedUpdates(), from.rejectedUpdates());
        return other;
    }

    /** An update based on a future version is rejected, and stays rejected after that version has been reached. */
    @Test
    void updateAheadOfItsBaseStaysRejected() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.STALE_BASE, kindOf(put("early", 7, 9, "E")));
        assertEquals(new ControlMessages.ConfigurationAccepted(7, false), put("b", 5, 7, "B"));
        assertEquals(ErrorKind.STALE_BASE, kindOf(put("early", 7, 9, "E")));
        Object inRestored = decide(
                restored(log), new ControlMessages.PutConfiguration("early", 7, bytes("{}"), "me", 9, bytes("E")));
        assertEquals(ErrorKind.STALE_BASE, kindOf(inRestored));
        assertEquals(new ControlMessages.ConfigurationAccepted(9, false), put("other", 7, 9, "O"));
    }

    @Test
    void repeatIsAcceptedAfterSixHundredLaterUpdatesAndAfterARestore() {
        put("first", 0, 2, "F");
        for (int i = 1; i <= 600; i++) {
            put("id" + i, i * 2L, i * 2L + 2, "text " + i);
        }
        ControlMessages.ConfigurationAccepted repeated = new ControlMessages.ConfigurationAccepted(2, true);
        assertEquals(repeated, put("first", 0, 2, "F"));
        assertEquals(
                repeated,
                decide(
                        restored(log),
                        new ControlMessages.PutConfiguration("first", 0, bytes("{}"), "me", 2, bytes("F"))));
        assertEquals(1202, log.version());
    }

    /** Earlier builds used the digest of the text as the request id; their updates are found by it. */
    @Test
    void updateOfAnEarlierBuildIsFoundByItsDigest() {
        String digest = Configurations.sha256(bytes("A"));
        put(digest, 0, 5, "A");
        assertEquals(new ControlMessages.ConfigurationAccepted(5, true), put("new name", 0, 5, "A"));
    }

    @Test
    void rememberedUpdatesAreBounded() {
        for (int i = 1; i <= ConfigurationLog.MAX_ACCEPTED + 50; i++) {
            put("id" + i, i - 1L, i, "");
        }
        for (int i = 0; i < ConfigurationLog.MAX_REJECTED + 50; i++) {
            put("early" + i, 1_000_000, 1_000_001, "");
        }
        assertEquals(ConfigurationLog.MAX_ACCEPTED, log.acceptedUpdates().size());
        assertEquals(ConfigurationLog.MAX_REJECTED, log.rejectedUpdates().size());
    }

    /**
     * An update that can never be stored, or not now, is rejected before it is written to the log; a repeated update is
     * always answered by the log.
     */
    @Test
    void updateThatNeedsNoEntryOrHasNoRoomIsRejectedBeforehand() throws ServiceException {
        int largest = 200 << 10;
        ConfigurationLog log = new ConfigurationLog(100 << 10);
        ControlMessages.PutConfiguration first =
                new ControlMessages.PutConfiguration("first", 0, new byte[30 << 10], "me");
        assertEquals(Optional.empty(), log.rejectionReason(first, largest, 0));
        log.put(first);
        assertEquals(Optional.empty(), log.rejectionReason(first, largest, largest));
        assertEquals(ErrorKind.STALE_BASE, rejection(log, 0, 10 << 10, 0));
        assertEquals(ErrorKind.UNAVAILABLE, rejection(log, 1, 30 << 10, 150 << 10));
        assertEquals(ErrorKind.INVALID_LAYOUT, rejection(log, 1, 70 << 10, 0));
        assertEquals(
                Optional.empty(),
                log.rejectionReason(
                        new ControlMessages.PutConfiguration("next", 1, new byte[50 << 10], "me"), largest, 0));
    }

    private static ErrorKind rejection(ConfigurationLog log, long base, int bytes, long unappliedBytes) {
        ControlMessages.PutConfiguration update =
                new ControlMessages.PutConfiguration("other", base, new byte[bytes], "me");
        return log.rejectionReason(update, 200 << 10, unappliedBytes)
                .orElseThrow()
                .kind();
    }
}
