package org.woadvale.common.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AggregateBucketTest {
    private static final RateLimit LIMIT = new RateLimit(10, 20);

    private static final Duration FAR = Duration.ofDays(1);

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static TokenMessages.TokenRequest ask(long id, int least, TokenMessages.UsageReport... reports) {
        return new TokenMessages.TokenRequest("b", id, least, List.of(reports));
    }

    @Test
    void repeatedAskIsTheSameGrant() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(10, bucket.grant("x", ask(1, 10), FAR, ms(1)).granted());
        assertEquals(10, bucket.grant("x", ask(1, 10), FAR, ms(2)).granted());
        assertEquals(10, bucket.outstanding());
    }

    @Test
    void grantsNeverExceedTheAggregateAndRestOnlyReturnsAfterTheirLife() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(20, bucket.grant("x", ask(1, 50), FAR, ms(0)).granted());
        assertEquals(0, bucket.grant("y", ask(1, 1), FAR, ms(900)).granted(), "all are out: nothing may be filled");
        assertTrue(bucket.grant("y", ask(2, 1), FAR, ms(1300)).granted() > 0, "dead passes make room");
    }

    /** Before: 17, since the time in which all were out was counted as time of filling once they were dead. */
    @Test
    void nothingIsFilledForTheTimeInWhichAllWasOut() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(20, bucket.grant("x", ask(1, 20), FAR, ms(0)).granted());
        assertEquals(6, bucket.grant("y", ask(1, 20), FAR, ms(1700)).granted(), "x may have spent its last at 0.999 s");
    }

    @Test
    void givenBackPassesAreGrantedAgainButOnlyOnce() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        bucket.grant("x", ask(1, 20), FAR, ms(0));
        TokenMessages.UsageReport back = new TokenMessages.UsageReport(1, 5, true);
        assertEquals(
                15,
                bucket.grant("y", ask(1, 20), FAR, ms(0)).granted()
                        + bucket.grant("x", ask(2, 20, back), FAR, ms(0)).granted());
        assertEquals(0, bucket.grant("x", ask(3, 20, back), FAR, ms(0)).granted());
    }

    @Test
    void laterTermStartsEmptyAndFillsOnlyOnceOldPassesAreDead() {
        AggregateBucket bucket = new AggregateBucket(2, 0, false, LIMIT, ms(0));
        assertEquals(0, bucket.grant("x", ask(1, 1), FAR, ms(1000)).granted());
        assertEquals(6, bucket.grant("x", ask(2, 9), FAR, ms(1700)).granted(), "0.6 s of filling");
    }

    @Test
    void batchIsASecondOfTheRateByActiveAskers() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, new RateLimit(12, 100), ms(0));
        long id = 0;
        for (String n : List.of("x", "y", "z")) {
            for (int i = 0; i < 5; i++) {
                bucket.grant(n, ask(++id, 0, new TokenMessages.UsageReport(id - 1, 12, true)), FAR, ms(0));
            }
        }
        assertEquals(4, bucket.grant("z", ask(++id, 0), FAR, ms(0)).granted());
        bucket.grant("z", ask(++id, 0), FAR, ms(2900));
        assertEquals(
                12, bucket.grant("z", ask(++id, 0), FAR, ms(5000)).granted(), "the others have not asked for long");
    }

    @Test
    void newcomerStartsSmallSoThatOneCannotEmptyTheBucket() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, new RateLimit(40, 40), ms(0));
        assertEquals(1, bucket.grant("x", ask(1, 0), FAR, ms(0)).granted());
        assertEquals(2, bucket.grant("x", ask(2, 0), FAR, ms(0)).granted());
        assertEquals(4, bucket.grant("x", ask(3, 0), FAR, ms(0)).granted());
        assertEquals(3, bucket.grant("y", ask(1, 3), FAR, ms(0)).granted(), "as many as wait are granted at once");
    }

    /** A holder that is there, gone until its lease has lapsed, or moved in order. */
    private static final class Chain {
        AggregateBucket h = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        long leaseEnd;
        long goneUntil = -1;
        int lapses;
        int moves;

        void look(long t, Random random) {
            if (goneUntil >= 0) {
                if (t >= goneUntil) {
                    h = new AggregateBucket(h.term() + 1, 0, true, LIMIT, ms(t));
                    goneUntil = -1;
                }
            } else if (random.nextInt(800) == 0) {
                goneUntil = leaseEnd + 100;
                lapses++;
            } else if (random.nextInt(800) == 0) {
                h = new AggregateBucket(h.term() + 1, h.level(ms(t)), false, LIMIT, ms(t));
                moves++;
            }
            if (goneUntil < 0 && t % 250 == 0) {
                leaseEnd = t + 1900;
            }
        }
    }

    /** LocalBuckets lose messages, die, put back and settle at random, holders crash and move; the allowance holds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void acceptedStaysWithinTheAllowanceWhateverGetsLost(long seed) {
        Random random = new Random(seed);
        Chain chain = new Chain();
        List<LocalBucket> localBuckets =
                new ArrayList<>(List.of(new LocalBucket(), new LocalBucket(), new LocalBucket()));
        List<Long> accepted = new ArrayList<>();
        long id = 0;
        for (long t = 0; t < 40_000; t += 5) {
            chain.look(t, random);
            int n = random.nextInt(3);
            LocalBucket bucket = localBuckets.get(n);
            if (random.nextInt(4) == 0 && chain.goneUntil < 0) {
                id++;
                askForTokens(chain, bucket, "n" + n, id, random.nextInt(10), t);
            }
            long now = t;
            // long pauses, so that passes are hoarded and the last moment of their life is tried
            if (t / 1000 % 3 != 0) {
                bucket.take(ms(t)).ifPresent(pass -> {
                    if (random.nextInt(5) == 0) {
                        bucket.returnToken(pass);
                    } else {
                        accepted.add(now);
                        bucket.markSpent(pass);
                    }
                });
            }
            if (random.nextInt(500) == 0) {
                localBuckets.set(n, new LocalBucket());
            }
        }
        assertTrue(accepted.size() > 100, "only " + accepted.size());
        assertTrue(chain.lapses + chain.moves > 3, "the holder must change");
        assertNeverAboveTheLimit(accepted);
    }

    /** A fate of 0 loses the request, one of 1 the response. */
    private static void askForTokens(Chain chain, LocalBucket bucket, String node, long id, int fate, long t) {
        TokenMessages.TokenRequest request = new TokenMessages.TokenRequest("b", id, 1, bucket.reports(ms(t)));
        if (fate > 0) {
            TokenMessages.TokenResponse response = chain.h.grant(node, request, ms(chain.leaseEnd), ms(t));
            if (fate > 1) {
                bucket.onGranted(response.grant(), response.granted(), ms(t), response.lifetime(), ms(t));
            }
        }
    }

    private static void assertNeverAboveTheLimit(List<Long> accepted) {
        for (int i = 0; i < accepted.size(); i++) {
            for (int j = i; j < accepted.size(); j++) {
                double window = (accepted.get(j) - accepted.get(i)) / 1000.0;
                assertTrue(
                        j - i + 1 <= LIMIT.burst() + LIMIT.ratePerS() * window + 1,
                        "window " + window + ": " + (j - i + 1));
            }
        }
    }

    /** Else the next term would have to wait for them to die before it fills. */
    @Test
    void noPassOutlivesItsHoldersClaim() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(ms(300), bucket.grant("x", ask(1, 5), ms(300), ms(0)).lifetime());
        assertEquals(ms(200), bucket.grant("x", ask(1, 5), ms(300), ms(100)).lifetime(), "nor by asking again");
        assertEquals(
                TokenMessages.TOKEN_LIFETIME,
                bucket.grant("x", ask(2, 1), ms(1900), ms(100)).lifetime());
    }

    @Test
    void termAfterALapseFillsAtOnceAndAMoveKeepsItsLevel() {
        AggregateBucket lapsed = new AggregateBucket(2, 0, true, LIMIT, ms(0));
        assertEquals(5, lapsed.grant("x", ask(1, 9), FAR, ms(500)).granted());
        AggregateBucket moved = new AggregateBucket(2, 8, false, LIMIT, ms(0));
        assertEquals(8, moved.grant("x", ask(1, 20), FAR, ms(0)).granted());
        assertEquals(
                0, moved.grant("y", ask(1, 20), FAR, ms(1000)).granted(), "12 of earlier terms and 8 of this are out");
        assertTrue(moved.grant("y", ask(2, 20), FAR, ms(1400)).granted() > 0);
    }
}
