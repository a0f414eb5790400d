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
                .filter(m -> m.tenant().equals(tenant) && m.state() == state)
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
        if (c instanceof MessageCommands.Accept a) {
            return accept(a);
        } else if (c instanceof MessageCommands.Start s) {
            return start(s);
        } else if (c instanceof MessageCommands.End e) {
            return end(e);
        } else if (c instanceof MessageCommands.ExpireEnded f) {
            return forget(f);
        }
        return new ServiceException(
                ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    private Object accept(MessageCommands.Accept a) {
        long n = lastSequence + 1;
        String handle = partition + "-" + n;
        Message m = Message.accepted(handle, n, a);
        Optional<Message> known = index.findById(m.idempotencyGroup());
        if (known.isPresent()) {
            Message k = known.get();
            if (!k.hash().equals(a.hash())) {
                return new ServiceException(
                        ErrorKind.CONFLICT, "The message id was used for other content.", List.of(k.handle()));
            }
            return new MessageCommands.Accepted(k.handle(), k.state().name(), true);
        }
        lastSequence = n;
        index.add(m);
        return new MessageCommands.Accepted(handle, m.state().name(), false);
    }

    private Object start(MessageCommands.Start s) {
        Optional<Message> found = index.find(s.handle());
        return found.isPresent() ? start(found.get(), s) : noSuchMessage();
    }

    private static ServiceException noSuchMessage() {
        return new ServiceException(ErrorKind.NOT_FOUND, "No such message.");
    }

    private MessageCommands.TransitionResult start(Message m, MessageCommands.Start s) {
        if (m.state() != MessageState.WAITING || s.attempt() != m.attempt() + 1 || !index.isFirstOfOrderingKey(m)) {
            return new MessageCommands.TransitionResult(false, m);
        }
        Message next = m.transition(
                MessageState.RUNNING,
                s.attempt(),
                m.attemptsMade() + 1,
                s.processor(),
                s.deadline(),
                m.due(),
                "",
                s.at(),
                s.destination());
        index.put(Optional.of(m), next);
        return new MessageCommands.TransitionResult(true, next);
    }

    private Object end(MessageCommands.End e) {
        Optional<Message> found = index.find(e.handle());
        return found.isPresent() ? end(found.get(), e) : noSuchMessage();
    }

    private MessageCommands.TransitionResult end(Message m, MessageCommands.End e) {
        boolean present = m.state() == MessageState.RUNNING && m.attempt() == e.attempt();
        // of two leases only the later may end a message: design 9.10
        boolean lateSuccess = e.outcome() == MessageCommands.AttemptOutcome.SUCCEEDED
                && !m.state().ended()
                && e.attempt() <= m.attempt()
                && (e.attempt() == m.attempt() || !m.leased());
        boolean overdue = e.attempt() == 0
                && m.state() == MessageState.WAITING
                && e.outcome() == MessageCommands.AttemptOutcome.FAILED;
        if (!present && !lateSuccess && !overdue) {
            return new MessageCommands.TransitionResult(false, m);
        }
        boolean counts = e.outcome() != MessageCommands.AttemptOutcome.NOT_SENT
                && e.outcome() != MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN;
        int tries = counts ? m.attemptsMade() : m.attemptsMade() - 1;
        MessageState to = switch (e.outcome()) {
            case SUCCEEDED -> MessageState.DONE;
            case FAILED -> MessageState.FAILED;
            default -> MessageState.WAITING;
        };
        Message next = m.transition(
                to,
                m.attempt(),
                tries,
                m.processor(),
                Instant.MAX,
                to == MessageState.WAITING ? e.due() : m.due(),
                e.proof(),
                e.at(),
                m.destination());
        Message noted = e.outcome() == MessageCommands.AttemptOutcome.OUTCOME_UNKNOWN
                ? next
                : next.withRecordedEnd(e.attempt());
        index.put(Optional.of(m), noted);
        return new MessageCommands.TransitionResult(true, noted);
    }

    private Object forget(MessageCommands.ExpireEnded f) {
        return new MessageCommands.ExpiredCount(index.expireEnded(f.endedBefore(), f.unclearBefore()));
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
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
