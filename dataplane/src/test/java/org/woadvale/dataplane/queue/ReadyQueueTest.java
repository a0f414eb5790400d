package org.woadvale.dataplane.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadyQueueTest {
    private static final Instant NOW = Instant.ofEpochSecond(1000);
    private static final int MANY = 100;

    private final ReadyQueue queue = new ReadyQueue();
    private long sequence;

    private Message add(String lane, String tenant, Instant due) {
        long number = ++sequence;
        RouteTerms terms = new RouteTerms("service-of-" + lane, 60_000, 3, 1000, false);
        Message message = Message.accepted(
                "m0-" + number,
                number,
                new MessageCommands.Accept(
                        tenant, lane, "id" + number, "", new byte[0], "hash", terms, due, NOW.minusSeconds(60)));
        queue.add(message);
        return message;
    }

    private List<String> due(String lane, int limit, int rotation) {
        return handles(queue.due(lane, NOW, limit, rotation, message -> true));
    }

    private static List<String> handles(List<Message> messages) {
        return messages.stream().map(Message::handle).toList();
    }

    @Test
    void earliestDueComesFirstAndMessagesNotYetDueAreLeftOut() {
        add("lane", "tenant", NOW);
        add("lane", "tenant", NOW.minusSeconds(1));
        add("lane", "tenant", NOW.plusMillis(1));
        assertEquals(List.of("m0-2", "m0-1"), due("lane", MANY, 0));
    }

    @Test
    void tenantsTakeTurnsHoweverManyMessagesOneHas() {
        add("lane", "a", NOW);
        add("lane", "a", NOW);
        add("lane", "a", NOW);
        add("lane", "b", NOW);
        assertEquals(List.of("m0-1", "m0-4", "m0-2", "m0-3"), due("lane", MANY, 0));
        assertEquals(List.of("m0-4", "m0-1", "m0-2", "m0-3"), due("lane", MANY, 1));
        assertEquals(List.of("m0-1", "m0-4"), due("lane", 2, 0));
    }

    @Test
    void allLanesFollowOneAnotherByName() {
        add("second", "tenant", NOW);
        add("first", "tenant", NOW);
        add("third", "tenant", NOW.plusSeconds(1));
        assertEquals(List.of("m0-2", "m0-1"), handles(queue.dueOfAllLanes(NOW, MANY, 0, message -> true)));
        assertEquals(
                List.of("m0-1"),
                handles(queue.dueOfAllLanes(
                        NOW, MANY, 0, message -> message.terms().service().equals("service-of-second"))));
    }

    @Test
    void laneIsRemovedWithItsLastMessage() {
        Message message = add("lane", "tenant", NOW);
        assertEquals(List.of("lane"), queue.lanes());
        queue.remove(message);
        queue.remove(message);
        assertEquals(List.of(), queue.lanes());
        assertEquals(List.of(), due("lane", MANY, 0));
    }
}
