package org.woadvale.foundation.tide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HoldingTest {
    private static final Allowance A = new Allowance(10, 20);

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static Passes.PassAsk ask(long id, int least, Passes.Report... reports) {
        return new Passes.PassAsk("b", id, least, List.of(reports));
    }

    @Test
    void repeatedAskIsTheSameGrant() {
        Holding h = new Holding(1, -1, A, ms(0));
        assertEquals(10, h.ask("x", ask(1, 10), ms(1)).granted());
        assertEquals(10, h.ask("x", ask(1, 10), ms(2)).granted());
        assertEquals(10, h.outstanding());
    }

    @Test
    void grantsNeverExceedTheAggregateAndRestOnlyReturnsAfterTheirLife() {
        Holding h = new Holding(1, -1, A, ms(0));
        assertEquals(20, h.ask("x", ask(1, 50), ms(0)).granted());
        assertEquals(0, h.ask("y", ask(1, 1), ms(900)).granted(), "all are out: nothing may be filled");
        assertTrue(h.ask("y", ask(2, 1), ms(1300)).granted() > 0, "dead passes make room");
    }

    @Test
    void givenBackPassesAreGrantedAgainButOnlyOnce() {
        Holding h = new Holding(1, -1, A, ms(0));
        h.ask("x", ask(1, 20), ms(0));
        Passes.Report back = new Passes.Report(1, 5, true);
        assertEquals(15, h.ask("y", ask(1, 20), ms(0)).granted() + h.ask("x", ask(2, 20, back), ms(0)).granted());
        assertEquals(0, h.ask("x", ask(3, 20, back), ms(0)).granted());
    }

    @Test
    void laterTermStartsEmptyAndFillsOnlyOnceOldPassesAreDead() {
        Holding h = new Holding(2, 0, A, ms(0));
        assertEquals(0, h.ask("x", ask(1, 1), ms(1000)).granted());
        assertEquals(6, h.ask("x", ask(2, 9), ms(1700)).granted(), "0.6 s of filling");
    }

    @Test
    void batchIsASecondOfTheRateByActiveAskers() {
        Holding h = new Holding(1, -1, new Allowance(12, 100), ms(0));
        long id = 0;
        for (String n : List.of("x", "y", "z")) {
            for (int i = 0; i < 5; i++) {
                h.ask(n, ask(++id, 0, new Passes.Report(id - 1, 12, true)), ms(0));
            }
        }
        assertEquals(4, h.ask("z", ask(++id, 0), ms(0)).granted());
        h.ask("z", ask(++id, 0), ms(2900));
        assertEquals(12, h.ask("z", ask(++id, 0), ms(5000)).granted(), "the others have not asked for long");
    }

    @Test
    void newcomerStartsSmallSoThatOneCannotEmptyTheBucket() {
        Holding h = new Holding(1, -1, new Allowance(40, 40), ms(0));
        assertEquals(1, h.ask("x", ask(1, 0), ms(0)).granted());
        assertEquals(2, h.ask("x", ask(2, 0), ms(0)).granted());
        assertEquals(4, h.ask("x", ask(3, 0), ms(0)).granted());
        assertEquals(3, h.ask("y", ask(1, 3), ms(0)).granted(), "as many as wait are granted at once");
    }

    /** Purses lose messages, die, put back and settle at random; accepted stays within burst and rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void acceptedStaysWithinTheAllowanceWhateverGetsLost(long seed) {
        Random random = new Random(seed);
        Holding h = new Holding(1, -1, A, ms(0));
        List<Purse> purses = new ArrayList<>(List.of(new Purse(), new Purse(), new Purse()));
        List<Long> accepted = new ArrayList<>();
        long id = 0;
        for (long t = 0; t < 30_000; t += 5) {
            int n = random.nextInt(3);
            Purse p = purses.get(n);
            if (random.nextInt(4) == 0) {
                Passes.PassAsk a = new Passes.PassAsk("b", ++id, 1, p.reports(ms(t)));
                int fate = random.nextInt(10);
                if (fate > 0) {
                    Passes.PassReply r = h.ask("n" + n, a, ms(t));
                    if (fate > 1) {
                        p.granted(r.grant(), r.granted(), ms(t), ms(t));
                    }
                }
            }
            long now = t;
            p.take(ms(t)).ifPresent(pass -> {
                if (random.nextInt(5) == 0) {
                    p.putBack(pass);
                } else {
                    accepted.add(now);
                    p.settle(pass);
                }
            });
            if (random.nextInt(500) == 0) {
                purses.set(n, new Purse());
            }
        }
        assertTrue(accepted.size() > 200, "only " + accepted.size());
        for (int i = 0; i < accepted.size(); i++) {
            for (int j = i; j < accepted.size(); j++) {
                double window = (accepted.get(j) - accepted.get(i)) / 1000.0;
                assertTrue(j - i + 1 <= A.burst() + A.ratePerS() * window + 1, "window " + window + ": " + (j - i + 1));
            }
        }
    }
}
