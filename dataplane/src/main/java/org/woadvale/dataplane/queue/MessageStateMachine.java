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
 * Applies the commands on one partition's messages, in log order and alike on every replica. (docs/design.md, section
 * 9)
 */
public final class MessageStateMachine implements StateMachine<MessageCommand, MessageResult> {
    /** What a snapshot has beside its messages. */
    private static final int SNAPSHOT_OVERHEAD_BYTES = 64;

    private final String partition;
    private final Codec codec;
    private final MessageIndex index = new MessageIndex();
    private long lastSequence;

    /** Without any message. */
    public MessageStateMachine(String partition, Codec codec) {
        this.partition = partition;
        this.codec = codec;
    }

    /** A message by its handle. */
    public Optional<Message> get(String handle) {
        return index.find(handle);
    }

    /** What the messages weigh that have not ended, in bytes. */
    public long liveBytes() {
        return index.liveBytes();
    }

    /** The bytes of all messages in a snapshot of the partition, ended ones included. */
    public long storedBytes() {
        return index.liveBytes() + index.endedBytes();
    }

    /** The messages that are kept, ended ones included. */
    public int count() {
        return index.all().size();
    }

    /** The messages of which an attempt is under way. */
    public List<Message> running() {
        return index.running();
    }

    /** The messages that may start once they are due. */
    public ReadyQueue ready() {
        return index.ready();
    }

    /** Messages of a tenant in one state, the newest first. */
    public List<Message> list(String tenant, MessageState state, int most) {
        return index.all().stream()
                .filter(message -> message.tenant().equals(tenant) && message.state() == state)
                .sorted(Comparator.comparing(Message::seq).reversed())
                .limit(most)
                .toList();
    }

    /** When ended messages before a time are to be forgotten: is there any? */
    public boolean hasExpired(Instant before, Instant unclearBefore) {
        return index.hasExpired(before, unclearBefore);
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

    /** The same message id again is the same message, unless its content differs. */
    private MessageCommands.Accepted accept(MessageCommands.Accept accept) throws ServiceException {
        long sequence = lastSequence + 1;
        String handle = partition + "-" + sequence;
        Message message = Message.accepted(handle, sequence, accept);
        Optional<Message> known = index.findById(message.idempotencyKey());
        if (known.isPresent()) {
            return repeated(known.get(), accept);
        }
        lastSequence = sequence;
        index.add(message);
        return new MessageCommands.Accepted(handle, message.state().name(), false);
    }

    private static MessageCommands.Accepted repeated(Message known, MessageCommands.Accept accept)
            throws ServiceException {
        if (!known.hash().equals(accept.hash())) {
            throw new ConflictException("The message id was used for other content.", List.of(known.handle()));
        }
        return new MessageCommands.Accepted(known.handle(), known.state().name(), true);
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
     * The running attempt may end; so may an earlier one that has succeeded, and a waiting message whose time is over.
     */
    private static boolean mayEnd(Message message, MessageCommands.End end) {
        boolean running = message.state() == MessageState.RUNNING && message.attempt() == end.attempt();
        boolean expired =
                end.attempt() == 0 && message.state() == MessageState.WAITING && end.outcome() == AttemptOutcome.FAILED;
        return running || expired || isLateSuccess(message, end);
    }

    /** Of two leases only the later one may end a message. */
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
    public void restore(byte[] view) {
        try {
            MessageCommands.State state = codec.read(view, MessageCommands.State.class);
            lastSequence = state.lastSequence();
            index.restore(state.messages().values());
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable view", failure);
        }
    }
}
