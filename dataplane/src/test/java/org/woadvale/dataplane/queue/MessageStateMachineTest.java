package org.woadvale.dataplane.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;

class MessageStateMachineTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
    private static final RouteTerms TERMS = new RouteTerms("service", 60_000, 3, 1000, false);
    private static final Instant NOW = Instant.ofEpochSecond(1000);
    private static final Instant LATER = NOW.plusSeconds(30);

    private final MessageStateMachine machine = new MessageStateMachine("m0", CODEC);
    private long index;

    private MessageCommands.MessageResult apply(MessageCommands.MessageCommand command) throws ServiceException {
        return machine.apply(++index, command);
    }

    private String accept(String id, String orderKey, String hash) throws ServiceException {
        MessageCommands.Accept command =
                new MessageCommands.Accept("tenant", "lane", id, orderKey, new byte[] {1}, hash, TERMS, NOW, NOW);
        return ((MessageCommands.Accepted) apply(command)).handle();
    }

    private boolean start(String handle, int attempt, String destination) throws ServiceException {
        MessageCommands.Start command =
                new MessageCommands.Start(handle, attempt, "processor", LATER, NOW, destination);
        return ((MessageCommands.TransitionResult) apply(command)).applied();
    }

    private boolean end(String handle, int attempt, AttemptOutcome outcome) throws ServiceException {
        MessageCommands.End command = new MessageCommands.End(handle, attempt, outcome, "proof", LATER, NOW);
        return ((MessageCommands.TransitionResult) apply(command)).applied();
    }

    private Message message(String handle) {
        return machine.get(handle).orElseThrow();
    }

    @Test
    void repeatedIdReturnsTheSameMessageUnlessItsContentDiffers() throws ServiceException {
        String handle = accept("id", "", "hash");
        assertEquals(handle, accept("id", "", "hash"));
        assertEquals(1, machine.count());
        ConflictException conflict = assertThrows(ConflictException.class, () -> accept("id", "", "other"));
        assertEquals(List.of(handle), conflict.details());
    }

    @Test
    void unknownMessageIsNeitherStartedNorEnded() {
        assertThrows(NotFoundException.class, () -> start("m0-9", 1, ""));
        assertThrows(NotFoundException.class, () -> end("m0-9", 1, AttemptOutcome.SUCCEEDED));
    }

    @Test
    void nextOfAnOrderingKeyStartsOnlyAfterThePreviousOneEnded() throws ServiceException {
        String first = accept("one", "key", "a");
        String second = accept("two", "key", "b");
        assertFalse(start(second, 1, ""));
        assertTrue(start(first, 1, ""));
        assertFalse(start(second, 1, ""));
        assertTrue(end(first, 1, AttemptOutcome.SUCCEEDED));
        assertTrue(start(second, 1, ""));
    }

    @Test
    void onlyTheNextAttemptStarts() throws ServiceException {
        String handle = accept("id", "", "hash");
        assertFalse(start(handle, 2, ""));
        assertTrue(start(handle, 1, ""));
        assertFalse(start(handle, 2, ""), "it is running");
    }

    @Test
    void attemptNotSentOrOfUnknownOutcomeIsNotCounted() throws ServiceException {
        String handle = accept("id", "", "hash");
        start(handle, 1, "");
        assertEquals(1, message(handle).attemptsMade());
        end(handle, 1, AttemptOutcome.NOT_SENT);
        assertEquals(0, message(handle).attemptsMade());
        start(handle, 2, "");
        end(handle, 2, AttemptOutcome.OUTCOME_UNKNOWN);
        assertEquals(0, message(handle).attemptsMade());
        start(handle, 3, "");
        end(handle, 3, AttemptOutcome.RETRY);
        assertEquals(1, message(handle).attemptsMade());
        assertEquals(LATER, message(handle).due());
    }

    @Test
    void lateSuccessOfAnEarlierAttemptEndsAPushedMessageButNotALeasedOne() throws ServiceException {
        String pushed = accept("pushed", "", "a");
        start(pushed, 1, "http://10.0.0.1:1");
        end(pushed, 1, AttemptOutcome.OUTCOME_UNKNOWN);
        assertTrue(end(pushed, 1, AttemptOutcome.SUCCEEDED));
        assertEquals(MessageState.DONE, message(pushed).state());
        String leased = accept("leased", "", "b");
        start(leased, 1, Message.LEASE_PREFIX + "processor");
        end(leased, 1, AttemptOutcome.OUTCOME_UNKNOWN);
        start(leased, 2, Message.LEASE_PREFIX + "processor");
        assertFalse(end(leased, 1, AttemptOutcome.SUCCEEDED));
        assertTrue(end(leased, 2, AttemptOutcome.SUCCEEDED));
    }

    @Test
    void expiredWaitingMessageFailsWithoutAnAttempt() throws ServiceException {
        String handle = accept("id", "", "hash");
        assertFalse(end(handle, 0, AttemptOutcome.RETRY));
        assertTrue(end(handle, 0, AttemptOutcome.FAILED));
        assertEquals(MessageState.FAILED, message(handle).state());
        assertFalse(end(handle, 0, AttemptOutcome.FAILED), "it has ended");
    }

    @Test
    void restoredStateMachineContinuesIdentically() throws ServiceException {
        String handle = accept("id", "key", "hash");
        start(handle, 1, "");
        MessageStateMachine restored = new MessageStateMachine("m0", CODEC);
        restored.restore(machine.snapshot());
        assertEquals(1, restored.running().size());
        MessageCommands.Accept repeat =
                new MessageCommands.Accept("tenant", "lane", "id", "key", new byte[] {1}, "hash", TERMS, NOW, NOW);
        assertEquals(new MessageCommands.Accepted(handle, "RUNNING", true), restored.apply(index + 1, repeat));
    }

    @Test
    void endedMessagesAreDroppedAfterTheirRetention() throws ServiceException {
        String handle = accept("id", "", "hash");
        start(handle, 1, "");
        end(handle, 1, AttemptOutcome.SUCCEEDED);
        assertEquals(new MessageCommands.ExpiredCount(0), apply(new MessageCommands.ExpireEnded(NOW, NOW)));
        assertEquals(
                new MessageCommands.ExpiredCount(1), apply(new MessageCommands.ExpireEnded(NOW.plusSeconds(1), NOW)));
        assertEquals(0, machine.count());
    }
}
