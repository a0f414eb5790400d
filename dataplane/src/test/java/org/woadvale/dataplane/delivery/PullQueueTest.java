package org.woadvale.dataplane.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.woadvale.dataplane.delivery.PullQueue.WaitingPull;
import org.woadvale.dataplane.queue.MessageCommands.LongPullRequest;
import org.woadvale.dataplane.queue.MessageCommands.RemoteDeadline;

class PullQueueTest {
    private static final String OWN_ZONE = "zone-a";
    private static final String OTHER_ZONE = "zone-b";
    private static final Duration START = Duration.ofSeconds(5);
    private static final RemoteDeadline DEADLINE = new RemoteDeadline("incarnation", Duration.ofSeconds(60));

    private final PullQueue queue = new PullQueue(OWN_ZONE);

    private static LongPullRequest request(String service, String processor, String zone, long waitMs) {
        return new LongPullRequest(service, processor, DEADLINE, waitMs, zone);
    }

    private void add(String service, String processor, String zone, long waitMs) {
        assertTrue(queue.add(request(service, processor, zone, waitMs), START).isPresent());
    }

    private Optional<String> takeProcessor(String service) {
        return queue.take(service).map(pull -> pull.request().processor());
    }

    @Test
    void ownZoneComesFirstThenTheOldest() {
        add("desk", "p1", OTHER_ZONE, 1000);
        add("desk", "p2", OWN_ZONE, 1000);
        add("desk", "p3", OWN_ZONE, 1000);
        add("desk", "p4", OTHER_ZONE, 1000);
        assertEquals(Optional.of("p2"), takeProcessor("desk"));
        assertEquals(Optional.of("p3"), takeProcessor("desk"));
        assertEquals(Optional.of("p1"), takeProcessor("desk"));
        assertEquals(Optional.of("p4"), takeProcessor("desk"));
        assertEquals(Optional.empty(), takeProcessor("desk"));
    }

    @Test
    void servicesDoNotTakeEachOthersPulls() {
        add("desk", "p1", OWN_ZONE, 1000);
        assertEquals(Optional.empty(), takeProcessor("post"));
        assertEquals(1, queue.count("desk"));
        assertEquals(0, queue.count("post"));
        assertEquals(Set.of("desk"), queue.services());
    }

    @Test
    void pullThatGotNoMessageIsFirstAgain() {
        add("desk", "p1", OWN_ZONE, 1000);
        add("desk", "p2", OWN_ZONE, 1000);
        WaitingPull first = queue.take("desk").orElseThrow();
        queue.putBack(first);
        assertEquals(2, queue.count("desk"));
        assertEquals(Optional.of("p1"), takeProcessor("desk"));
    }

    @Test
    void pullsExpireAtTheEndOfTheirWait() {
        add("desk", "p1", OWN_ZONE, 1000);
        add("desk", "p2", OWN_ZONE, 2000);
        add("post", "p3", OWN_ZONE, 1000);
        assertEquals(List.of(), queue.removeExpired(START.plusMillis(999)));
        List<WaitingPull> expired = queue.removeExpired(START.plusMillis(1000));
        assertEquals(
                Set.of("p1", "p3"),
                Set.copyOf(
                        expired.stream().map(pull -> pull.request().processor()).toList()));
        assertEquals(Set.of("desk"), queue.services());
        assertEquals(Optional.of("p2"), takeProcessor("desk"));
    }

    @Test
    void fullQueueRefusesOnlyItsOwnService() {
        for (int i = 0; i < PullQueue.MAX_WAITING_PER_SERVICE; i++) {
            add("desk", "p" + i, OWN_ZONE, 1000);
        }
        assertTrue(queue.add(request("desk", "late", OWN_ZONE, 1000), START).isEmpty());
        assertEquals(PullQueue.MAX_WAITING_PER_SERVICE, queue.count("desk"));
        add("post", "other", OWN_ZONE, 1000);
    }
}
