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
 * and those ended. Every change goes through {@link #put} or {@link #expireEnded}, which keep the indexes consistent.
 * Not thread-safe.
 */
final class MessageIndex {
    /** Upper bound on ended messages of unknown outcome; the oldest ones beyond it are dropped early. */
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

    /** The message that was accepted under the idempotency key, if it is still retained. */
    Optional<Message> findById(String idempotencyKey) {
        return Optional.ofNullable(handlesById.get(idempotencyKey)).flatMap(this::find);
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

    /** The bytes of ended messages that are still retained. */
    long endedBytes() {
        return endedBytes;
    }

    /** Whether every earlier message of its ordering key has ended. */
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

    /** Replaces the previous state of a message, if there is one. */
    void put(Optional<Message> before, Message message) {
        before.ifPresent(this::removeLive);
        messages.put(message.handle(), message);
        if (message.state().isTerminal()) {
            retainEnded(message);
            removeFromOrder(message);
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

    private void retainEnded(Message message) {
        (message.outcomeUnknown() ? outcomeUnknown : ended).add(message);
        endedBytes += message.size();
    }

    /** Removes an ended message from its ordering key, so that the next one may start. */
    private void removeFromOrder(Message message) {
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

    /** Whether {@link #expireEnded} would drop any message. */
    boolean hasExpired(Instant endedBefore, Instant outcomeUnknownBefore) {
        return anyEndedBefore(ended, endedBefore)
                || anyEndedBefore(outcomeUnknown, outcomeUnknownBefore)
                || outcomeUnknown.size() > MAX_OUTCOME_UNKNOWN;
    }

    /**
     * Drops the messages that ended before the given times, and the oldest ones of unknown outcome beyond
     * {@link #MAX_OUTCOME_UNKNOWN}; returns how many were dropped.
     */
    int expireEnded(Instant endedBefore, Instant outcomeUnknownBefore) {
        int dropped = 0;
        while (anyEndedBefore(ended, endedBefore)) {
            drop(ended.pollFirst());
            dropped++;
        }
        while (anyEndedBefore(outcomeUnknown, outcomeUnknownBefore) || outcomeUnknown.size() > MAX_OUTCOME_UNKNOWN) {
            drop(outcomeUnknown.pollFirst());
            dropped++;
        }
        return dropped;
    }

    private static boolean anyEndedBefore(TreeSet<Message> queue, Instant time) {
        return !queue.isEmpty() && queue.first().ended().isBefore(time);
    }

    private void drop(Message message) {
        messages.remove(message.handle());
        handlesById.remove(message.idempotencyKey());
        endedBytes -= message.size();
    }

    /** Replaces the contents by the given messages. */
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
            retainEnded(message);
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
