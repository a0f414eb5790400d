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
    private final String part;
    private final Codec codec;
    private final MessageIndex index = new MessageIndex();
    private long seq;

    public MessageStateMachine(String part, Codec codec) {
        this.part = part;
        this.codec = codec;
    }

    public Optional<Message> get(String handle) {
        return index.get(handle);
    }

    public long liveBytes() {
        return index.liveBytes();
    }

    /** About what a view of the part weighs, ended messages included. */
    public long weight() {
        return index.liveBytes() + index.endedBytes();
    }

    public int count() {
        return index.all().size();
    }

    public List<Message> running() {
        return index.running();
    }

    public ReadyQueue startable() {
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
        return index.anyToForget(t, unclearBefore);
    }

    @Override
    public Object apply(long logIndex, Object c) {
        if (c instanceof Commands.Accept a) {
            return accept(a);
        } else if (c instanceof Commands.Start s) {
            return start(s);
        } else if (c instanceof Commands.End e) {
            return end(e);
        } else if (c instanceof Commands.Forget f) {
            return forget(f);
        }
        return new ServiceException(
                ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    private Object accept(Commands.Accept a) {
        long n = seq + 1;
        String handle = part + "-" + n;
        Message m = Message.accepted(handle, n, a);
        Optional<Message> known = index.byId(m.idGroup());
        if (known.isPresent()) {
            Message k = known.get();
            if (!k.hash().equals(a.hash())) {
                return new ServiceException(
                        ErrorKind.CONFLICT, "The message id was used for other content.", List.of(k.handle()));
            }
            return new Commands.Accepted(k.handle(), k.state().name(), true);
        }
        seq = n;
        index.add(m);
        return new Commands.Accepted(handle, m.state().name(), false);
    }

    private Object start(Commands.Start s) {
        Optional<Message> found = index.get(s.handle());
        return found.isPresent() ? start(found.get(), s) : noSuchMessage();
    }

    private static ServiceException noSuchMessage() {
        return new ServiceException(ErrorKind.NOT_FOUND, "No such message.");
    }

    private Commands.Changed start(Message m, Commands.Start s) {
        if (m.state() != MessageState.WAITING || s.attempt() != m.attempt() + 1 || !index.firstOfItsKey(m)) {
            return new Commands.Changed(false, m);
        }
        Message next = m.to(
                MessageState.RUNNING,
                s.attempt(),
                m.tries() + 1,
                s.processor(),
                s.deadline(),
                m.due(),
                "",
                s.at(),
                s.where());
        index.put(Optional.of(m), next);
        return new Commands.Changed(true, next);
    }

    private Object end(Commands.End e) {
        Optional<Message> found = index.get(e.handle());
        return found.isPresent() ? end(found.get(), e) : noSuchMessage();
    }

    private Commands.Changed end(Message m, Commands.End e) {
        boolean present = m.state() == MessageState.RUNNING && m.attempt() == e.attempt();
        // of two leases only the later may end a message: design 9.10
        boolean lateSuccess = e.ending() == Commands.Ending.DONE
                && !m.state().ended()
                && e.attempt() <= m.attempt()
                && (e.attempt() == m.attempt() || !m.leased());
        boolean overdue = e.attempt() == 0 && m.state() == MessageState.WAITING && e.ending() == Commands.Ending.FAILED;
        if (!present && !lateSuccess && !overdue) {
            return new Commands.Changed(false, m);
        }
        boolean counts = e.ending() != Commands.Ending.NOT_SENT && e.ending() != Commands.Ending.LAPSED;
        int tries = counts ? m.tries() : m.tries() - 1;
        MessageState to = switch (e.ending()) {
            case DONE -> MessageState.DONE;
            case FAILED -> MessageState.FAILED;
            default -> MessageState.WAITING;
        };
        Message next = m.to(
                to,
                m.attempt(),
                tries,
                m.processor(),
                Instant.MAX,
                to == MessageState.WAITING ? e.due() : m.due(),
                e.proof(),
                e.at(),
                m.where());
        Message noted = e.ending() == Commands.Ending.LAPSED ? next : next.endTaken(e.attempt());
        index.put(Optional.of(m), noted);
        return new Commands.Changed(true, noted);
    }

    private Object forget(Commands.Forget f) {
        return new Commands.Forgotten(index.forgetEnded(f.endedBefore(), f.unclearBefore()));
    }

    @Override
    public byte[] view() {
        return codec.write(new Commands.State(index.snapshot(), seq));
    }

    @Override
    public void restore(byte[] view) {
        try {
            Commands.State state = codec.read(view, Commands.State.class);
            seq = state.seq();
            index.restore(state.messages().values());
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
