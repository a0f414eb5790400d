package org.woadvale.pilot.berth;

import java.time.Instant;

import org.woadvale.foundation.beam.Since;

/** One message as its part knows it. Ended ones keep no body. */
public record Message(String handle, String tenant, String lane, String id, String orderKey, byte[] body, String hash,
                      LaneTerms terms, long seq, Instant accepted, Instant from, Instant due, MessageState state, int attempt, int tries,
                      String processor, Instant deadline, String proof, Instant ended, @Since(2) String where) {

    public static final String NO_PROCESSOR = "";
    /** Every reason of an end that nobody could prove starts like this. */
    public static final String UNCLEAR = "unclear: ";

    /** The one function for every change of state. */
    Message to(MessageState next, int newAttempt, int newTries, String newProcessor, Instant newDeadline,
               Instant newDue, String newProof, Instant at, String newWhere) {
        if (!state.next().contains(next)) {
            throw new IllegalStateException(handle + ": " + state + " to " + next);
        }
        return new Message(handle, tenant, lane, id, orderKey, next.ended() ? new byte[0] : body, hash, terms, seq, accepted, from,
            newDue, next, newAttempt, newTries, newProcessor, newDeadline, newProof, next.ended() ? at : Instant.MAX, newWhere);
    }

    /** Ended without anybody knowing whether it was done. */
    public boolean unclear() {
        return state == MessageState.FAILED && proof.startsWith(UNCLEAR);
    }

    public boolean ordered() {
        return !orderKey.isEmpty();
    }

    String orderGroup() {
        return tenant + "\n" + lane + "\n" + orderKey;
    }

    String idGroup() {
        return tenant + "\n" + lane + "\n" + id;
    }

    public int size() {
        return body.length + 200;
    }
}
