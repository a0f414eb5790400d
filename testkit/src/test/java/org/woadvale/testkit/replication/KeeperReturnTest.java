package org.woadvale.testkit.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.runtime.ServiceException;

/** The former owner need not wait for its own lease, and nobody else may take that way. design 5.3 */
class KeeperReturnTest {
    private static final Duration SOON = Duration.ofMillis(600);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void afterALossOfAllPowerTheFormerOwnerOwnsAtOnce(long seed) throws ServiceException {
        Trio t = new Trio(seed);
        assertEquals("one", t.say("one"));
        String former = t.awaitOwner();
        t.sim.run(Duration.ofSeconds(1));
        for (String h : t.hosts.keySet()) {
            t.hosts.get(h).powerLoss();
        }
        for (String h : t.hosts.keySet()) {
            t.start(h);
        }
        assertTrue(t.sim.runUntil(() -> t.owner().isPresent(), SOON), "nobody owns the part in time");
        assertEquals(former, t.owner().orElseThrow());
        assertEquals("two", t.say("two"));
    }

    @Test
    void anOwnerOfAnEarlierTermWaitsForThePresentOne() throws ServiceException {
        Trio t = new Trio(7);
        String old = t.awaitOwner();
        t.hosts.get(old).powerLoss();
        String next = t.awaitOwner();
        assertFalse(next.equals(old));
        t.sim.run(Duration.ofSeconds(1));
        t.start(old);
        for (int i = 0; i < 40; i++) {
            t.sim.run(Duration.ofMillis(50));
            assertEquals(next, t.owner().orElse("none"), "the present owner's claim runs");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26})
    void neverTwoOwnersUnderRestartsAndPauses(long seed) throws ServiceException {
        Trio t = new Trio(seed);
        t.awaitOwner();
        t.net.weather(0.05, 0.05);
        List<String> names = new ArrayList<>(t.hosts.keySet());
        long worst = 0;
        for (int i = 0; i < 600; i++) {
            String n = names.get(t.sim.random().nextInt(3));
            switch (t.sim.random().nextInt(12)) {
                case 0 -> {
                    t.hosts.get(n).powerLoss();
                    t.start(n);
                }
                case 1 ->
                    t.hosts.get(n).pause(Duration.ofMillis(200 + t.sim.random().nextInt(4000)));
                case 2 -> {
                    t.net.heal();
                    t.net.cutOff(n);
                }
                case 3 -> t.net.heal();
                default -> {}
            }
            t.sim.run(Duration.ofMillis(100));
            worst = Math.max(worst, t.owners());
        }
        t.net.heal();
        t.sim.run(Duration.ofSeconds(8));
        assertEquals(1, worst);
        assertEquals("last", t.say("last"));
    }
}
