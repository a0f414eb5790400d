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

/** Revisions, originals and repeated updates. */
class ConfigurationLogTest {
    private final ConfigurationLog log = new ConfigurationLog(1 << 20);

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    /** What was accepted, or the failure with which the update was rejected. */
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

    private static ErrorKind kind(Object o) {
        return ((ServiceException) o).kind();
    }

    @Test
    void ownRevisionIsTheVersionAndRisesInUnevenSteps() {
        assertEquals(new ControlMessages.ConfigurationAccepted(3, false), put("a", 0, 3, "A"));
        assertEquals(new ControlMessages.ConfigurationAccepted(17, false), put("b", 3, 17, "B"));
        assertEquals(17, log.version());
        assertEquals(
                new ControlMessages.ConfigurationAccepted(18, false),
                decide(log, new ControlMessages.PutConfiguration("c", 17, bytes("{}"), "me")));
    }

    @Test
    void revisionNotAboveThePresentIsInvalid() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.INVALID_LAYOUT, kind(put("b", 5, 5, "B")));
        assertEquals(ErrorKind.INVALID_LAYOUT, kind(put("c", 5, 4, "C")));
        assertEquals(5, log.version());
    }

    @Test
    void ofTwoOnOneBaseTheSecondIsStale() {
        put("a", 0, 5, "A");
        assertEquals(new ControlMessages.ConfigurationAccepted(7, false), put("b", 5, 7, "B"));
        Object lost = put("c", 5, 8, "C");
        assertEquals(ErrorKind.STALE_BASE, kind(lost));
        assertTrue(((ServiceException) lost).details().contains("7"), "the present one is named");
    }

    @Test
    void sameTextAgainHasTheSameAnswerEvenLater() {
        put("a", 0, 5, "A");
        put("b", 5, 7, "B");
        assertEquals(new ControlMessages.ConfigurationAccepted(5, true), put("a", 0, 5, "A"));
        assertEquals(new ControlMessages.ConfigurationAccepted(7, true), put("b", 5, 7, "B"));
        assertEquals(ErrorKind.CONFLICT, kind(put("a", 0, 5, "other text")));
    }

    /** Two texts that mean the same configuration are two changes. */
    @Test
    void repeatsAreToldByTheOriginal() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.CONFLICT, kind(put("a", 0, 5, "A ")));
        assertArrayEquals(bytes("A"), log.revisions().get(0).original());
    }

    @Test
    void restoredLogAnswersAlike() {
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

    /** Originals count towards the bound, the ids stay. */
    @Test
    void boundHoldsWithOriginals() {
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
        assertTrue(small.revisions().size() <= 3, small.revisions().size() + " kept");
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

    /** An order that built on a version to come was refused; reaching that version does not bring it into force. */
    @Test
    void orderRefusedAheadOfItsBaseStaysRefused() {
        put("a", 0, 5, "A");
        assertEquals(ErrorKind.STALE_BASE, kind(put("early", 7, 9, "E")));
        assertEquals(new ControlMessages.ConfigurationAccepted(7, false), put("b", 5, 7, "B"));
        assertEquals(ErrorKind.STALE_BASE, kind(put("early", 7, 9, "E")));
        Object inRestored = decide(
                restored(log), new ControlMessages.PutConfiguration("early", 7, bytes("{}"), "me", 9, bytes("E")));
        assertEquals(ErrorKind.STALE_BASE, kind(inRestored));
        assertEquals(new ControlMessages.ConfigurationAccepted(9, false), put("other", 7, 9, "O"));
    }

    @Test
    void repeatIsYesAfterSixHundredLaterChangesAlsoWhereTheStateWasRestored() {
        put("first", 0, 2, "F");
        for (int i = 1; i <= 600; i++) {
            put("id" + i, i * 2L, i * 2L + 2, "text " + i);
        }
        ControlMessages.ConfigurationAccepted yes = new ControlMessages.ConfigurationAccepted(2, true);
        assertEquals(yes, put("first", 0, 2, "F"));
        assertEquals(
                yes,
                decide(
                        restored(log),
                        new ControlMessages.PutConfiguration("first", 0, bytes("{}"), "me", 2, bytes("F"))));
        assertEquals(1202, log.version());
    }

    /** A build before named an order by the digest of its text alone: its orders are known under that name. */
    @Test
    void orderOfABuildBeforeIsKnownByItsText() {
        String digest = Configurations.sha256(bytes("A"));
        put(digest, 0, 5, "A");
        assertEquals(new ControlMessages.ConfigurationAccepted(5, true), put("new name", 0, 5, "A"));
    }

    @Test
    void memoriesAreBounded() {
        for (int i = 1; i <= ConfigurationLog.MAX_ACCEPTED + 50; i++) {
            put("id" + i, i - 1L, i, "");
        }
        for (int i = 0; i < ConfigurationLog.MAX_REJECTED + 50; i++) {
            put("early" + i, 1_000_000, 1_000_001, "");
        }
        assertEquals(ConfigurationLog.MAX_ACCEPTED, log.acceptedUpdates().size());
        assertEquals(ConfigurationLog.MAX_REJECTED, log.rejectedUpdates().size());
    }

    /** What cannot be taken, or not now, is refused before it is in the log; a repeat is always for the log to answer. */
    @Test
    void whatNeedsNoRecordOrHasNoRoomIsRefusedBeforehand() throws ServiceException {
        int largest = 200 << 10;
        ConfigurationLog log = new ConfigurationLog(100 << 10);
        ControlMessages.PutConfiguration first =
                new ControlMessages.PutConfiguration("first", 0, new byte[30 << 10], "me");
        assertEquals(Optional.empty(), log.rejectionReason(first, largest, 0));
        log.put(first);
        assertEquals(Optional.empty(), log.rejectionReason(first, largest, largest));
        assertEquals(ErrorKind.STALE_BASE, refusal(log, 0, 10 << 10, 0));
        assertEquals(ErrorKind.UNAVAILABLE, refusal(log, 1, 30 << 10, 150 << 10));
        assertEquals(ErrorKind.INVALID_LAYOUT, refusal(log, 1, 70 << 10, 0));
        assertEquals(
                Optional.empty(),
                log.rejectionReason(
                        new ControlMessages.PutConfiguration("next", 1, new byte[50 << 10], "me"), largest, 0));
    }

    private static ErrorKind refusal(ConfigurationLog log, long base, int bytes, long unappliedBytes) {
        ControlMessages.PutConfiguration update =
                new ControlMessages.PutConfiguration("other", base, new byte[bytes], "me");
        return log.rejectionReason(update, 200 << 10, unappliedBytes)
                .orElseThrow()
                .kind();
    }
}
