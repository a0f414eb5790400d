package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.dataplane.queue.MessageCommands.AttemptOutcome;
import org.woadvale.dataplane.queue.MessageCommands.MessageCommand;
import org.woadvale.dataplane.queue.MessageCommands.MessageResult;

/**
 * Applies the commands to the messages of one partition, in log order and identically on every replica.
 * (docs/design.md, section 9)
 */
public final class MessageStateMachine implements StateMachine<MessageCommand, MessageResult> {
    /** Upper bound on the bytes of a snapshot other than its messages. */
    private static final int SNAPSHOT_OVERHEAD_BYTES = 64;

    private final String partition;
    private final Codec codec;
    private final MessageIndex index = new MessageIndex();
    private long lastSequence;

    /** Creates a state machine without messages. */
    public MessageStateMachine(String partition, Codec codec) {
        this.partition = partition;
        this.codec = codec;
    }

    /** A message by its handle. */
    public Optional<Message> get(String handle) {
        return index.find(handle);
    }

    /** The bytes that messages that have not ended take in a snapshot. */
    public long liveBytes() {
        return index.liveBytes();
    }

    /** The bytes of all messages in a snapshot of the partition, including ended ones. */
    public long storedBytes() {
        return index.liveBytes() + index.endedBytes();
    }

    /** The number of retained messages, including ended ones. */
    public int count() {
        return index.all().size();
    }

    /** The messages with an attempt in progress. */
    public List<Message> running() {
        return index.running();
    }

    /** The messages that may start once they are due. */
    public ReadyQueue ready() {
        return index.ready();
    }

    /** Messages of a tenant in one state, the newest first. */
    public List<Message> list(String tenant, MessageState state, int limit) {
        return index.all().stream()
                .filter(message -> message.tenant().equals(tenant) && message.state() == state)
                .sorted(Comparator.comparing(Message::seq).reversed())
                .limit(limit)
                .toList();
    }

    /** Whether any ended message is old enough to be dropped. */
    public boolean hasExpired(Instant endedBefore, Instant outcomeUnknownBefore) {
        return index.hasExpired(endedBefore, outcomeUnknownBefore);
    }

    @Override
    public Class<MessageCommand> commandType() {
        return MessageCommand.class;
    }

    @Override
    public MessageResult apply(long logIndex, MessageCommand command) throws ServiceException {
        if (command instanceof MessageCommands.Accept accept) {
            return accept(accept);
        } else if (command instanceof MessageCommands.Start start) {
            return start(message(start.handle()), start);
        } else if (command instanceof MessageCommands.End end) {
            return end(message(end.handle()), end);
        } else if (command instanceof MessageCommands.ExpireEnded expire) {
            return new MessageCommands.ExpiredCount(index.expireEnded(expire.endedBefore(), expire.unclearBefore()));
        }
        throw new InvalidRequestException(
                "Unknown command " + command.getClass().getSimpleName() + ".");
    }

    private Message message(String handle) throws ServiceException {
        return index.find(handle).orElseThrow(() -> new NotFoundException("No such message."));
    }

    /** A repeated message id returns the existing message; with different content it is a conflict. */
    private MessageCommands.Accepted accept(MessageCommands.Accept accept) throws ServiceException {
        long sequence = lastSequence + 1;
        String handle = partition + "-" + sequence;
        Message message = Message.accepted(handle, sequence, accept);
        Optional<Message> existing = index.findById(message.idempotencyKey());
        if (existing.isPresent()) {
            return repeated(existing.get(), accept);
        }
        lastSequence = sequence;
        index.add(message);
        return new MessageCommands.Accepted(handle, message.state().name(), false);
    }

    private static MessageCommands.Accepted repeated(Message existing, MessageCommands.Accept accept)
            throws ServiceException {
        if (!existing.hash().equals(accept.hash())) {
            throw new ConflictException("The message id was used for other content.", List.of(existing.handle()));
        }
        return new MessageCommands.Accepted(existing.handle(), existing.state().name(), true);
    }

    private MessageCommands.TransitionResult start(Message message, MessageCommands.Start start) {
        if (message.state() != MessageState.WAITING
                || start.attempt() != message.attempt() + 1
                || !index.isFirstOfOrderingKey(message)) {
            return new MessageCommands.TransitionResult(false, message);
        }
        Message next = message.transition(
                MessageState.RUNNING,
                start.attempt(),
                message.attemptsMade() + 1,
                start.processor(),
                start.deadline(),
                message.due(),
                "",
                start.at(),
                start.destination());
        index.put(Optional.of(message), next);
        return new MessageCommands.TransitionResult(true, next);
    }

    private MessageCommands.TransitionResult end(Message message, MessageCommands.End end) {
        if (!mayEnd(message, end)) {
            return new MessageCommands.TransitionResult(false, message);
        }
        MessageState next = stateAfter(end.outcome());
        Message ended = message.transition(
                next,
                message.attempt(),
                message.attemptsMade() - (countsAsAttempt(end.outcome()) ? 0 : 1),
                message.processor(),
                Instant.MAX,
                next == MessageState.WAITING ? end.due() : message.due(),
                end.proof(),
                end.at(),
                message.destination());
        Message recorded =
                end.outcome() == AttemptOutcome.OUTCOME_UNKNOWN ? ended : ended.withRecordedEnd(end.attempt());
        index.put(Optional.of(message), recorded);
        return new MessageCommands.TransitionResult(true, recorded);
    }

    /**
     * The running attempt may end; so may an attempt that is reported late as a success, and a waiting message whose
     * time limit is reached.
     */
    private static boolean mayEnd(Message message, MessageCommands.End end) {
        boolean running = message.state() == MessageState.RUNNING && message.attempt() == end.attempt();
        boolean expired =
                end.attempt() == 0 && message.state() == MessageState.WAITING && end.outcome() == AttemptOutcome.FAILED;
        return running || expired || isLateSuccess(message, end);
    }

    /**
     * A late success ends a message even if a later attempt was started, but under leases only the latest one may end
     * it.
     */
    private static boolean isLateSuccess(Message message, MessageCommands.End end) {
        return end.outcome() == AttemptOutcome.SUCCEEDED
                && !message.state().isTerminal()
                && end.attempt() <= message.attempt()
                && (end.attempt() == message.attempt() || !message.leased());
    }

    private static boolean countsAsAttempt(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.NOT_SENT && outcome != AttemptOutcome.OUTCOME_UNKNOWN;
    }

    private static MessageState stateAfter(AttemptOutcome outcome) {
        return switch (outcome) {
            case SUCCEEDED -> MessageState.DONE;
            case FAILED -> MessageState.FAILED;
            default -> MessageState.WAITING;
        };
    }

    @Override
    public OptionalLong snapshotBytes() {
        return OptionalLong.of(SNAPSHOT_OVERHEAD_BYTES + storedBytes());
    }

    @Override
    public byte[] snapshot() {
        return codec.write(new MessageCommands.State(index.snapshot(), lastSequence));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            MessageCommands.State state = codec.read(snapshot, MessageCommands.State.class);
            lastSequence = state.lastSequence();
            index.restore(state.messages().values());
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable view", failure);
        }
    }
}
