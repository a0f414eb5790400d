package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** The messages of one part: design 9. */
public final class MessageStateMachine implements StateMachine {
    private static final int ENDED_WEIGHT = 400;
    private static final int MOST_UNCLEAR = 1000;

    private final String part;
    private final Codec codec;
    private final Map<String, Message> messages = new HashMap<>();
    private final Map<String, String> byId = new HashMap<>();
    private final Map<String, TreeMap<Long, String>> order = new HashMap<>();
    private final ReadyQueue startable = new ReadyQueue();
    private final Map<String, Message> running = new TreeMap<>();
    private final TreeSet<Message> ended =
            new TreeSet<>(Comparator.comparing(Message::ended).thenComparing(Message::seq));
    private final TreeSet<Message> unclear =
            new TreeSet<>(Comparator.comparing(Message::ended).thenComparing(Message::seq));
    private long seq;
    private long liveBytes;
    private long keptBytes;

    public MessageStateMachine(String part, Codec codec) {
        this.part = part;
        this.codec = codec;
    }

    public Optional<Message> get(String handle) {
        return Optional.ofNullable(messages.get(handle));
    }

    public long liveBytes() {
        return liveBytes;
    }

    /** About what a view of the part weighs, ended messages included. */
    public long weight() {
        return liveBytes + keptBytes;
    }

    public int count() {
        return messages.size();
    }

    public List<Message> running() {
        return List.copyOf(running.values());
    }

    public ReadyQueue startable() {
        return startable;
    }

    public List<Message> list(String tenant, MessageState state, int most) {
        return messages.values().stream()
                .filter(m -> m.tenant().equals(tenant) && m.state() == state)
                .sorted(Comparator.comparing(Message::seq).reversed())
                .limit(most)
                .toList();
    }

    /** When ended messages before a time are to be forgotten: is there any? */
    public boolean anyEndedBefore(Instant t, Instant unclearBefore) {
        return before(ended, t) || before(unclear, unclearBefore) || unclear.size() > MOST_UNCLEAR;
    }

    private static boolean before(TreeSet<Message> line, Instant t) {
        return !line.isEmpty() && line.first().ended().isBefore(t);
    }

    @Override
    public Object apply(long index, Object c) {
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
        Optional<Message> known = Optional.ofNullable(byId.get(m.idGroup())).map(messages::get);
        if (known.isPresent()) {
            Message k = known.get();
            if (!k.hash().equals(a.hash())) {
                return new ServiceException(
                        ErrorKind.CONFLICT, "The message id was used for other content.", List.of(k.handle()));
            }
            return new Commands.Accepted(k.handle(), k.state().name(), true);
        }
        seq = n;
        byId.put(m.idGroup(), handle);
        if (m.ordered()) {
            order.computeIfAbsent(m.orderGroup(), g -> new TreeMap<>()).put(n, handle);
        }
        put(Optional.empty(), m);
        return new Commands.Accepted(handle, m.state().name(), false);
    }

    private Object start(Commands.Start s) {
        Message m = messages.get(s.handle());
        if (m == null || m.state() != MessageState.WAITING || s.attempt() != m.attempt() + 1 || !first(m)) {
            return m == null
                    ? new ServiceException(ErrorKind.NOT_FOUND, "No such message.")
                    : new Commands.Changed(false, m);
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
        put(Optional.of(m), next);
        return new Commands.Changed(true, next);
    }

    private boolean first(Message m) {
        return !m.ordered() || order.get(m.orderGroup()).firstKey() == m.seq();
    }

    private Object end(Commands.End e) {
        Message m = messages.get(e.handle());
        if (m == null) {
            return new ServiceException(ErrorKind.NOT_FOUND, "No such message.");
        }
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
        put(Optional.of(m), noted);
        return new Commands.Changed(true, noted);
    }

    private Object forget(Commands.Forget f) {
        int n = 0;
        while (before(ended, f.endedBefore())) {
            drop(ended.pollFirst());
            n++;
        }
        while (before(unclear, f.unclearBefore()) || unclear.size() > MOST_UNCLEAR) {
            drop(unclear.pollFirst());
            n++;
        }
        return new Commands.Forgotten(n);
    }

    private void drop(Message m) {
        messages.remove(m.handle());
        byId.remove(m.idGroup());
        keptBytes -= ENDED_WEIGHT + m.body().length;
    }

    private void keepEnded(Message m) {
        (m.unclear() ? unclear : ended).add(m);
        keptBytes += ENDED_WEIGHT + m.body().length;
    }

    /** Keeps every index in step with the one map. */
    private void put(Optional<Message> before, Message m) {
        before.ifPresent(b -> {
            liveBytes -= b.size();
            running.remove(b.handle());
            startable.remove(b);
        });
        messages.put(m.handle(), m);
        if (m.state().ended()) {
            keepEnded(m);
            leaveOrder(m);
            return;
        }
        liveBytes += m.size();
        if (m.state() == MessageState.RUNNING) {
            running.put(m.handle(), m);
        } else if (first(m)) {
            startable.add(m);
        }
    }

    private void leaveOrder(Message m) {
        if (!m.ordered()) {
            return;
        }
        TreeMap<Long, String> line = order.get(m.orderGroup());
        line.remove(m.seq());
        if (line.isEmpty()) {
            order.remove(m.orderGroup());
            return;
        }
        Message head = messages.get(line.firstEntry().getValue());
        if (head.state() == MessageState.WAITING) {
            startable.add(head);
        }
    }

    @Override
    public byte[] view() {
        return codec.write(new Commands.State(new HashMap<>(messages), seq));
    }

    @Override
    public void restore(byte[] view) {
        try {
            Commands.State s = codec.read(view, Commands.State.class);
            List.of(messages, byId, order, running).forEach(Map::clear);
            startable.clear();
            List.of(ended, unclear).forEach(TreeSet::clear);
            seq = s.seq();
            liveBytes = 0;
            keptBytes = 0;
            List<Message> all = new ArrayList<>(s.messages().values());
            all.sort(Comparator.comparing(Message::seq));
            all.stream()
                    .filter(m -> m.ordered() && !m.state().ended())
                    .forEach(m -> order.computeIfAbsent(m.orderGroup(), g -> new TreeMap<>())
                            .put(m.seq(), m.handle()));
            all.forEach(m -> {
                byId.put(m.idGroup(), m.handle());
                if (m.state().ended()) {
                    messages.put(m.handle(), m);
                    keepEnded(m);
                } else {
                    put(Optional.empty(), m);
                }
            });
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
