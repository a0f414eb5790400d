package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.Arrays;
import java.util.Map;
import org.woadvale.common.rpc.EncodedSize;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * The state of one message in its partition. A message that is done keeps neither body nor envelope. The envelope is
 * opaque here: only the submitting and the delivering side interpret it. The message records for every attempt, without
 * a limit on their number, whether an outcome other than unknown was committed: attempts 1 to 62 are bits of
 * {@code ends}, later ones are bits of {@code laterEnds}.
 */
public record Message(
        String handle,
        String tenant,
        String lane,
        String id,
        String orderKey,
        byte[] body,
        String hash,
        RouteTerms terms,
        long seq,
        Instant accepted,
        Instant from,
        Instant due,
        MessageState state,
        int attempt,
        @FirstFormatName("tries") int attemptsMade,
        String processor,
        Instant deadline,
        String proof,
        Instant ended,
        @Since(2) String destination,
        @Since(3) Map<String, String> envelope,
        @Since(3) long ends,
        @Since(5) byte[] laterEnds) {
    /** Envelope key of the name by which processors know the tenant, if it differs from the name used here. */
    public static final String TENANT_NAME = "tenantName";

    /** A snapshot contains the handle twice: in the message and as its map key. */
    private static final int HANDLES_IN_SNAPSHOT = 2;
    /** Upper bound on the encoded bytes of numbers, times and the state. */
    private static final int FIXED_BYTES = 90;

    /** Value of {@code processor} until the first attempt starts. */
    public static final String NO_PROCESSOR = "";
    /** Prefix of {@code proof} for a message that ended with an unknown outcome. */
    public static final String OUTCOME_UNKNOWN_PREFIX = "unclear: ";
    /** Prefix of {@code destination} for an attempt under a lease. (docs/design.md, section 9.10) */
    public static final String LEASE_PREFIX = "lease:";

    /** The last attempt recorded in {@code ends}; bit 0 is unused. */
    private static final int LAST_ATTEMPT_IN_ENDS = 62;

    static Message accepted(String handle, long seq, MessageCommands.Accept accept) {
        return new Message(
                handle,
                accept.tenant(),
                accept.lane(),
                accept.id(),
                accept.orderKey(),
                accept.body(),
                accept.hash(),
                accept.terms(),
                seq,
                accept.at(),
                accept.due(),
                accept.due(),
                MessageState.WAITING,
                0,
                0,
                NO_PROCESSOR,
                Instant.MAX,
                "",
                Instant.MAX,
                "",
                accept.envelope(),
                0,
                new byte[0]);
    }

    /** Returns the message in its next state; every change of state goes through this method. */
    Message transition(
            MessageState next,
            int newAttempt,
            int newAttemptsMade,
            String newProcessor,
            Instant newDeadline,
            Instant newDue,
            String newProof,
            Instant at,
            String newDestination) {
        if (!state.next().contains(next)) {
            throw new IllegalStateException(handle + ": " + state + " to " + next);
        }
        return new Message(
                handle,
                tenant,
                lane,
                id,
                orderKey,
                next == MessageState.DONE ? new byte[0] : body,
                hash,
                terms,
                seq,
                accepted,
                from,
                newDue,
                next,
                newAttempt,
                newAttemptsMade,
                newProcessor,
                newDeadline,
                newProof,
                next.isTerminal() ? at : Instant.MAX,
                newDestination,
                next == MessageState.DONE ? Map.of() : envelope,
                ends,
                laterEnds);
    }

    /** Returns this message with the outcome of the attempt recorded as committed; attempt 0 is not recorded. */
    Message withRecordedEnd(int attemptNumber) {
        long bits = attemptNumber < 1 || attemptNumber > LAST_ATTEMPT_IN_ENDS ? ends : ends | 1L << attemptNumber;
        byte[] laterBits = attemptNumber <= LAST_ATTEMPT_IN_ENDS
                ? laterEnds
                : withBit(laterEnds, attemptNumber - LAST_ATTEMPT_IN_ENDS - 1);
        return new Message(
                handle,
                tenant,
                lane,
                id,
                orderKey,
                body,
                hash,
                terms,
                seq,
                accepted,
                from,
                due,
                state,
                attempt,
                attemptsMade,
                processor,
                deadline,
                proof,
                ended,
                destination,
                envelope,
                bits,
                laterBits);
    }

    private static byte[] withBit(byte[] bits, int index) {
        byte[] grown = Arrays.copyOf(bits, Math.max(bits.length, index / Byte.SIZE + 1));
        grown[index / Byte.SIZE] |= (byte) (1 << index % Byte.SIZE);
        return grown;
    }

    private static boolean hasBit(byte[] bits, int index) {
        return index / Byte.SIZE < bits.length && (bits[index / Byte.SIZE] & 1 << index % Byte.SIZE) != 0;
    }

    /** Whether an outcome of the attempt, other than an unknown one, was committed. */
    public boolean hasRecordedEnd(int attemptNumber) {
        return attemptNumber > LAST_ATTEMPT_IN_ENDS
                ? hasBit(laterEnds, attemptNumber - LAST_ATTEMPT_IN_ENDS - 1)
                : attemptNumber >= 1 && (ends & 1L << attemptNumber) != 0;
    }

    /** Whether its latest attempt was started under a lease. */
    public boolean leased() {
        return destination.startsWith(LEASE_PREFIX);
    }

    /** Whether the message ended without proof of whether it was executed. */
    public boolean outcomeUnknown() {
        return state == MessageState.FAILED && proof.startsWith(OUTCOME_UNKNOWN_PREFIX);
    }

    /** Whether it has an ordering key. */
    public boolean ordered() {
        return !orderKey.isEmpty();
    }

    String orderingGroup() {
        return tenant + "\n" + lane + "\n" + orderKey;
    }

    String idempotencyKey() {
        return tenant + "\n" + lane + "\n" + id;
    }

    /**
     * Upper bound on the bytes that it takes in a snapshot, including all strings that callers chose. Every limit on
     * the bytes of messages is based on this figure.
     */
    public int size() {
        return FIXED_BYTES
                + HANDLES_IN_SNAPSHOT * EncodedSize.of(handle)
                + EncodedSize.of(tenant)
                + EncodedSize.of(lane)
                + EncodedSize.of(id)
                + EncodedSize.of(orderKey)
                + body.length
                + EncodedSize.of(hash)
                + EncodedSize.of(terms.service())
                + EncodedSize.of(processor)
                + EncodedSize.of(proof)
                + EncodedSize.of(destination)
                + EncodedSize.of(envelope)
                + laterEnds.length;
    }

    /** The tenant name that is sent to processors; empty if the lane requires no access key. */
    public String tenantName() {
        return envelope.getOrDefault(TENANT_NAME, tenant);
    }
}
