package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.runtime.ServiceException;

/** Three replicas, and disks among them that take no more bytes. */
class FullDiskGroupTest {
    private static final Duration SETTLED = Duration.ofSeconds(3);

    private static void setFull(Trio t, String node, boolean full) {
        t.hosts.get(node).disk().setFull(full);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneFullDiskHoldsNothingUpAndCatchesUp(long seed) throws ServiceException {
        Trio t = new Trio(seed);
        String leader = t.awaitOwner();
        List<String> names = List.copyOf(t.hosts.keySet());
        String full = seed % 2 == 0 ? leader : names.get((names.indexOf(leader) + 1) % names.size());
        setFull(t, full, true);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accepted.add(t.say("word" + i));
            t.sim.run(Duration.ofMillis(200));
        }
        assertEquals("word19", accepted.get(19));
        setFull(t, full, false);
        t.sim.run(SETTLED);
        t.hosts.values().forEach(h -> assertTrue(h.alive()));
        t.hosts.keySet().stream()
                .filter(n -> !n.equals(full))
                .findFirst()
                .ifPresent(n -> t.hosts.get(n).kill());
        assertEquals("after", t.say("after"));
        assertTrue(t.words.get(t.awaitOwner()).words.containsAll(accepted));
    }

    /** With two full disks nothing can be confirmed; what was under way is decided once there is room. */
    @Test
    void twoFullDisksConfirmNothingUntilThereIsRoom() throws ServiceException {
        Trio t = new Trio(5);
        String leader = t.awaitOwner();
        t.hosts.keySet().stream().filter(n -> !n.equals(leader)).forEach(n -> setFull(t, n, true));
        List<String> answers = new ArrayList<>();
        t.replicas.get(leader).propose("held", String.class).subscribe(answers::add, e -> answers.add("unknown"));
        t.sim.run(Duration.ofSeconds(5));
        assertEquals(List.of(), answers);
        t.hosts.keySet().forEach(n -> setFull(t, n, false));
        t.sim.run(SETTLED);
        assertEquals(List.of("held"), answers);
        t.hosts.values().forEach(h -> assertTrue(h.alive()));
    }
}
