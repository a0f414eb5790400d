package org.woadvale.dataplane.queue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The messages of one partition with all indexes over them: by id, by ordering key, those ready to start, those running
 * and those ended. Every change goes through {@link #put} or {@link #forgetEnded}, which keep the indexes in step. Not
 * safe for use by several threads.
 */
final class MessageIndex {
    /** Messages of unclear outcome that are kept beside those that are young enough. */
    private static final int MAX_OUTCOME_UNKNOWN = 1000;

    private static final Comparator<Message> BY_END =
            Comparator.comparing(Message::ended).thenComparing(Message::seq);

    private final Map<String, Message> messages = new HashMap<>();
    private final Map<String, String> handlesById = new HashMap<>();
    private final Map<String, TreeMap<Long, String>> handlesByOrder = new HashMap<>();
    private final ReadyQueue ready = new ReadyQueue();
    private final Map<String, Message> running = new TreeMap<>();
    private final TreeSet<Message> ended = new TreeSet<>(BY_END);
    private final TreeSet<Message> outcomeUnknown = new TreeSet<>(BY_END);
    private long liveBytes;
    private long endedBytes;

    Optional<Message> find(String handle) {
        return Optional.ofNullable(messages.get(handle));
    }

    /** The message that was accepted under the id, if it is still kept. */
    Optional<Message> findById(String idGroup) {
        return Optional.ofNullable(handlesById.get(idGroup)).flatMap(this::find);
    }

    Collection<Message> all() {
        return messages.values();
    }

    /** A copy of all messages by their handles. */
    Map<String, Message> snapshot() {
        return new HashMap<>(messages);
    }

    List<Message> running() {
        return List.copyOf(running.values());
    }

    ReadyQueue ready() {
        return ready;
    }

    /** The bytes of messages that have not ended. */
    long liveBytes() {
        return liveBytes;
    }

    /** The bytes of ended messages that are still kept. */
    long endedBytes() {
        return endedBytes;
    }

    /** Whether no earlier message of its ordering key is still to end. */
    boolean isFirstOfOrderingKey(Message message) {
        return !message.ordered() || handlesByOrder.get(message.orderingGroup()).firstKey() == message.seq();
    }

    /** Adds a message that was just accepted. */
    void add(Message message) {
        handlesById.put(message.idempotencyKey(), message.handle());
        queueByOrder(message);
        put(Optional.empty(), message);
    }

    private void queueByOrder(Message message) {
        if (message.ordered()) {
            handlesByOrder
                    .computeIfAbsent(message.orderingGroup(), group -> new TreeMap<>())
                    .put(message.seq(), message.handle());
        }
    }

    /** Replaces the earlier state of a message, if there is one, by the present. */
    void put(Optional<Message> before, Message message) {
        before.ifPresent(this::removeLive);
        messages.put(message.handle(), message);
        if (message.state().isTerminal()) {
            keepEnded(message);
            leaveOrder(message);
            return;
        }
        liveBytes += message.size();
        if (message.state() == MessageState.RUNNING) {
            running.put(message.handle(), message);
        } else if (isFirstOfOrderingKey(message)) {
            ready.add(message);
        }
    }

    private void removeLive(Message message) {
        liveBytes -= message.size();
        running.remove(message.handle());
        ready.remove(message);
    }

    private void keepEnded(Message message) {
        (message.outcomeUnknown() ? outcomeUnknown : ended).add(message);
        endedBytes += message.size();
    }

    /** The next message of the ordering key may start. */
    private void leaveOrder(Message message) {
        if (!message.ordered()) {
            return;
        }
        TreeMap<Long, String> queue = handlesByOrder.get(message.orderingGroup());
        queue.remove(message.seq());
        if (queue.isEmpty()) {
            handlesByOrder.remove(message.orderingGroup());
            return;
        }
        Message head = messages.get(queue.firstEntry().getValue());
        if (head.state() == MessageState.WAITING) {
            ready.add(head);
        }
    }

    /** Whether {@link #forgetEnded} would drop any message. */
    boolean hasExpired(Instant endedBefore, Instant unclearBefore) {
        return anyEndedBefore(ended, endedBefore)
                || anyEndedBefore(outcomeUnknown, unclearBefore)
                || outcomeUnknown.size() > MAX_OUTCOME_UNKNOWN;
    }

    /**
     * Drops the messages that ended before the times given, and the oldest of too many unclear ones; returns how many.
     */
    int expireEnded(Instant endedBefore, Instant unclearBefore) {
        int forgotten = 0;
        while (anyEndedBefore(ended, endedBefore)) {
            drop(ended.pollFirst());
            forgotten++;
        }
        while (anyEndedBefore(outcomeUnknown, unclearBefore) || outcomeUnknown.size() > MAX_OUTCOME_UNKNOWN) {
            drop(outcomeUnknown.pollFirst());
            forgotten++;
        }
        return forgotten;
    }

    private static boolean anyEndedBefore(TreeSet<Message> queue, Instant time) {
        return !queue.isEmpty() && queue.first().ended().isBefore(time);
    }

    private void drop(Message message) {
        messages.remove(message.handle());
        handlesById.remove(message.idempotencyKey());
        endedBytes -= message.size();
    }

    /** Forgets everything and takes over the messages given. */
    void restore(Collection<Message> restored) {
        clear();
        List<Message> all = new ArrayList<>(restored);
        all.sort(Comparator.comparing(Message::seq));
        all.stream().filter(message -> !message.state().isTerminal()).forEach(this::queueByOrder);
        all.forEach(this::restore);
    }

    private void restore(Message message) {
        handlesById.put(message.idempotencyKey(), message.handle());
        if (message.state().isTerminal()) {
            messages.put(message.handle(), message);
            keepEnded(message);
        } else {
            put(Optional.empty(), message);
        }
    }

    private void clear() {
        List.of(messages, handlesById, handlesByOrder, running).forEach(Map::clear);
        ready.clear();
        List.of(ended, outcomeUnknown).forEach(TreeSet::clear);
        liveBytes = 0;
        endedBytes = 0;
    }
}
