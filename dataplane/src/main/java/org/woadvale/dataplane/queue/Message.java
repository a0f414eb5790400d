package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.Arrays;
import java.util.Map;
import org.woadvale.common.rpc.EncodedSize;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * One message as its partition knows it. Done ones keep no body. The envelope is opaque here: whoever submits and
 * whoever delivers agree on it. Of each attempt it is kept whether its end was taken, for ever and without a bound on
 * their number: the first 62 are bits of {@code ends}, the later ones bits of {@code laterEnds}, in their order.
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
    /** In the envelope: the name by which processors know the tenant, where it has another one here. */
    public static final String TENANT_NAME = "tenantName";

    /** A snapshot has the handle twice, in the message and as its key. */
    private static final int HANDLES = 2;
    /** The most bytes of its numbers, times and states. */
    private static final int FIXED_BYTES = 90;

    /** The processor of a message that no processor has had. */
    public static final String NO_PROCESSOR = "";
    /** Every reason of an end that nobody could prove starts like this. */
    public static final String OUTCOME_UNKNOWN_PREFIX = "unclear: ";
    /** The destination of an attempt under a lease begins with this. (docs/design.md, section 9.10) */
    public static final String LEASE_PREFIX = "lease:";

    /** The attempts of which {@code ends} has a bit; the bit of attempt zero is not used. */
    private static final int FIRST_ENDS = 62;

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

    /** The one function for every change of state. */
    Message transition(
            MessageState next,
            int newAttempt,
            int newTries,
            String newProcessor,
            Instant newDeadline,
            Instant newDue,
            String newProof,
            Instant at,
            String newWhere) {
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
                newTries,
                newProcessor,
                newDeadline,
                newProof,
                next.isTerminal() ? at : Instant.MAX,
                newWhere,
                next == MessageState.DONE ? Map.of() : envelope,
                ends,
                laterEnds);
    }

    /** The same message, and the end of the attempt was taken; attempt zero is none. */
    Message withRecordedEnd(int of) {
        long bits = of < 1 || of > FIRST_ENDS ? ends : ends | 1L << of;
        byte[] laterBits = of <= FIRST_ENDS ? laterEnds : withBit(laterEnds, of - FIRST_ENDS - 1);
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
        byte[] more = Arrays.copyOf(bits, Math.max(bits.length, index / Byte.SIZE + 1));
        more[index / Byte.SIZE] |= (byte) (1 << index % Byte.SIZE);
        return more;
    }

    private static boolean hasBit(byte[] bits, int index) {
        return index / Byte.SIZE < bits.length && (bits[index / Byte.SIZE] & 1 << index % Byte.SIZE) != 0;
    }

    /** Whether a processor's word on the attempt was taken as its end. */
    public boolean hasRecordedEnd(int of) {
        return of > FIRST_ENDS ? hasBit(laterEnds, of - FIRST_ENDS - 1) : of >= 1 && (ends & 1L << of) != 0;
    }

    /** Whether a processor has it under a lease. */
    public boolean leased() {
        return destination.startsWith(LEASE_PREFIX);
    }

    /** Ended without anybody knowing whether it was done. */
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
     * The most bytes that it takes in a snapshot, with all texts that callers chose. Every bound on the bytes of
     * messages counts this figure.
     */
    public int size() {
        return FIXED_BYTES
                + HANDLES * EncodedSize.of(handle)
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

    /** The name of the tenant that processors are told; empty where the lane asks for no key. */
    public String tenantName() {
        return envelope.getOrDefault(TENANT_NAME, tenant);
    }
}
