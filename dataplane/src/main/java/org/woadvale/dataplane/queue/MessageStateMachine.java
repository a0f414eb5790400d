package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** Applies the commands on one partition's messages, in log order and alike on every replica. design 9 */
public final class MessageStateMachine implements StateMachine {
    private final String partition;
    private final Codec codec;
    private final MessageIndex index = new MessageIndex();
    private long lastSequence;

    public MessageStateMachine(String part, Codec codec) {
        this.partition = part;
        this.codec = codec;
    }

    public Optional<Message> get(String handle) {
        return index.find(handle);
    }

    public long liveBytes() {
        return index.liveBytes();
    }

    /** About what a view of the part weighs, ended messages included. */
    public long storedBytes() {
        return index.liveBytes() + index.endedBytes();
    }

    public int count() {
        return index.all().size();
    }

    public List<Message> running() {
        return index.running();
    }

    public ReadyQueue ready() {
        return index.ready();
    }

    public List<Message> list(String tenant, MessageState state, int most) {
        return index.all().stream()
                .filter(message -> message.tenant().equals(tenant) && message.state() == state)
                .sorted(Comparator.comparing(Message::seq).reversed())
                .limit(most)
                .toList();
    }

    /** When ended messages before a time are to be forgotten: is there any? */
    public boolean anyEndedBefore(Instant t, Instant unclearBefore) {
        return index.hasExpired(t, unclearBefore);
    }

    @Override
    public Object apply(long logIndex, Object c) {
        if (c instanceof MessageCommands.Accept accept) {
            return accept(accept);
        } else if (c instanceof MessageCommands.Start start) {
            return start(start);
        } else if (c instanceof MessageCommands.End end) {
            return end(end);
        } else if (c instanceof MessageCommands.ExpireEnded expireEnded) {
            return forget(expireEnded);
        }
        return new ServiceException(
                ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    private Object accept(MessageCommands.Accept accept) {
        long n = lastSequence + 1;
        String handle = partition + "-" + n;
        Message m = Message.accepted(handle, n, accept);
        Optional<Message> known = index.findById(m.idempotencyGroup());
        if (known.isPresent()) {
            Message message = known.get();
            if (!message.hash().equals(accept.hash())) {
                return new ServiceException(
                        ErrorKind.CONFLICT, "The message id was used for other content.", List.of(message.handle()));
            }
            return new MessageCommands.Accepted(
                    message.handle(), message.state().name(), true);
        }
        lastSequence = n;
        index.add(m);
        return new MessageCommands.Accepted(handle, m.state().name(), false);
    }

    private Object start(MessageCommands.Start start) {
        Optional<Message> found = index.find(start.handle());
        return found.isPresent() ? start(found.get(), start) : noSuchMessage();
    }

    private static ServiceException noSuchMessage() {
        return new ServiceException(ErrorKind.NOT_FOUND, "No such message.");
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

    private Object end(MessageCommands.End end) {
        Optional<Message> found = index.find(end.handle());
        return found.isPresent() ? end(found.get(), end) : noSuchMessage();
    }

    private MessageCommands.TransitionResult end(Message message, MessageCommands.End end) {
        boolean present = message.state() == MessageState.RUNNING && message.attempt() == end.attempt();
        // of two leases only the later may end a message: design 9.10
        boolean lateSuccess = end.outcome() == MessageCommands.AttemptOutcome.SUCCEEDED
                && !message.state().ended()
                && end.attempt() <= message.attempt()
                && (end.attempt() == message.attempt() || !message.leased());
        boolean overdue = end.attempt() == 0
                && message.state() == MessageState.WAITING
                && end.outcome() == MessageCommands.AttemptOutcome.FAILED;
        if (!present && !lateSuccess && !overdue) {
            return new MessageCommands.TransitionResult(false, message);
        }
        boolean counts = end.outcome() != MessageCommands.AttemptOutcome.NOT_SENT
                && end.outcome() != MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN;
        int tries = counts ? message.attemptsMade() : message.attemptsMade() - 1;
        MessageState to = switch (end.outcome()) {
            case SUCCEEDED -> MessageState.DONE;
            case FAILED -> MessageState.FAILED;
            default -> MessageState.WAITING;
        };
        Message next = message.transition(
                to,
                message.attempt(),
                tries,
                message.processor(),
                Instant.MAX,
                to == MessageState.WAITING ? end.due() : message.due(),
                end.proof(),
                end.at(),
                message.destination());
        Message noted = end.outcome() == MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN
                ? next
                : next.withRecordedEnd(end.attempt());
        index.put(Optional.of(message), noted);
        return new MessageCommands.TransitionResult(true, noted);
    }

    private Object forget(MessageCommands.ExpireEnded expireEnded) {
        return new MessageCommands.ExpiredCount(
                index.expireEnded(expireEnded.endedBefore(), expireEnded.unclearBefore()));
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
