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

    private static final Duration FAR_FUTURE = Duration.ofDays(1);

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static TokenMessages.TokenRequest request(long id, int minimum, TokenMessages.UsageReport... reports) {
        return new TokenMessages.TokenRequest("b", id, minimum, List.of(reports));
    }

    @Test
    void repeatedRequestReturnsTheSameGrant() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(10, bucket.grant("x", request(1, 10), FAR_FUTURE, ms(1)).granted());
        assertEquals(10, bucket.grant("x", request(1, 10), FAR_FUTURE, ms(2)).granted());
        assertEquals(10, bucket.outstanding());
    }

    @Test
    void outstandingTokensAreRefilledOnlyAfterTheyExpire() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(20, bucket.grant("x", request(1, 50), FAR_FUTURE, ms(0)).granted());
        assertEquals(
                0,
                bucket.grant("y", request(1, 1), FAR_FUTURE, ms(900)).granted(),
                "all tokens are outstanding: nothing is refilled");
        assertTrue(
                bucket.grant("y", request(2, 1), FAR_FUTURE, ms(1300)).granted() > 0, "expired tokens can be refilled");
    }

    /**
     * Guards against a grant of 17 tokens: the time in which all tokens were outstanding counted as refill time once they
     * had expired.
     */
    @Test
    void timeWithAllTokensOutstandingIsNotRefillTime() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(20, bucket.grant("x", request(1, 20), FAR_FUTURE, ms(0)).granted());
        assertEquals(
                6,
                bucket.grant("y", request(1, 20), FAR_FUTURE, ms(1700)).granted(),
                "x may have spent its last token at 0.999 s");
    }

    @Test
    void returnedTokensAreGrantedAgainOnlyOnce() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        bucket.grant("x", request(1, 20), FAR_FUTURE, ms(0));
        TokenMessages.UsageReport returned = new TokenMessages.UsageReport(1, 5, true);
        assertEquals(
                15,
                bucket.grant("y", request(1, 20), FAR_FUTURE, ms(0)).granted()
                        + bucket.grant("x", request(2, 20, returned), FAR_FUTURE, ms(0))
                                .granted());
        assertEquals(
                0,
                bucket.grant("x", request(3, 20, returned), FAR_FUTURE, ms(0)).granted());
    }

    @Test
    void laterTermRefillsOnlyAfterTokensOfEarlierTermsExpire() {
        AggregateBucket bucket = new AggregateBucket(2, 0, false, LIMIT, ms(0));
        assertEquals(0, bucket.grant("x", request(1, 1), FAR_FUTURE, ms(1000)).granted());
        assertEquals(6, bucket.grant("x", request(2, 9), FAR_FUTURE, ms(1700)).granted(), "0.6 s of refilling");
    }

    @Test
    void batchIsOneSecondOfTheRateDividedByActiveRequesters() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, new RateLimit(12, 100), ms(0));
        long id = 0;
        for (String node : List.of("x", "y", "z")) {
            for (int i = 0; i < 5; i++) {
                bucket.grant(
                        node, request(++id, 0, new TokenMessages.UsageReport(id - 1, 12, true)), FAR_FUTURE, ms(0));
            }
        }
        assertEquals(4, bucket.grant("z", request(++id, 0), FAR_FUTURE, ms(0)).granted());
        bucket.grant("z", request(++id, 0), FAR_FUTURE, ms(2900));
        assertEquals(
                12,
                bucket.grant("z", request(++id, 0), FAR_FUTURE, ms(5000)).granted(),
                "the other nodes are no longer active");
    }

    @Test
    void firstGrantsAreSmallSoThatOneNodeCannotEmptyTheBucket() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, new RateLimit(40, 40), ms(0));
        assertEquals(1, bucket.grant("x", request(1, 0), FAR_FUTURE, ms(0)).granted());
        assertEquals(2, bucket.grant("x", request(2, 0), FAR_FUTURE, ms(0)).granted());
        assertEquals(4, bucket.grant("x", request(3, 0), FAR_FUTURE, ms(0)).granted());
        assertEquals(
                3, bucket.grant("y", request(1, 3), FAR_FUTURE, ms(0)).granted(), "the minimum is granted at once");
    }

    /** An aggregate bucket whose owner crashes, until its lease has expired, or releases it to the next owner. */
    private static final class ChangingOwner {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        long leaseEnd;
        long vacantUntil = -1;
        int crashes;
        int releases;

        void advance(long t, Random random) {
            if (vacantUntil >= 0) {
                if (t >= vacantUntil) {
                    bucket = new AggregateBucket(bucket.term() + 1, 0, true, LIMIT, ms(t));
                    vacantUntil = -1;
                }
            } else if (random.nextInt(800) == 0) {
                vacantUntil = leaseEnd + 100;
                crashes++;
            } else if (random.nextInt(800) == 0) {
                bucket = new AggregateBucket(bucket.term() + 1, bucket.level(ms(t)), false, LIMIT, ms(t));
                releases++;
            }
            if (vacantUntil < 0 && t % 250 == 0) {
                leaseEnd = t + 1900;
            }
        }
    }

    /**
     * Local buckets lose messages, are replaced by empty ones, and return and spend tokens at random, while the owner
     * crashes and releases; the accepted tokens stay within the limit.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void acceptedTokensStayWithinTheLimitUnderFaults(long seed) {
        Random random = new Random(seed);
        ChangingOwner owner = new ChangingOwner();
        List<LocalBucket> localBuckets =
                new ArrayList<>(List.of(new LocalBucket(), new LocalBucket(), new LocalBucket()));
        List<Long> accepted = new ArrayList<>();
        long id = 0;
        for (long t = 0; t < 40_000; t += 5) {
            owner.advance(t, random);
            int n = random.nextInt(3);
            LocalBucket bucket = localBuckets.get(n);
            if (random.nextInt(4) == 0 && owner.vacantUntil < 0) {
                id++;
                requestTokens(owner, bucket, "n" + n, id, random.nextInt(10), t);
            }
            long now = t;
            // long pauses, so that tokens accumulate and are also spent at the last moment before they expire
            if (t / 1000 % 3 != 0) {
                bucket.take(ms(t)).ifPresent(token -> {
                    if (random.nextInt(5) == 0) {
                        bucket.returnToken(token);
                    } else {
                        accepted.add(now);
                        bucket.markSpent(token);
                    }
                });
            }
            if (random.nextInt(500) == 0) {
                localBuckets.set(n, new LocalBucket());
            }
        }
        assertTrue(accepted.size() > 100, "only " + accepted.size());
        assertTrue(owner.crashes + owner.releases > 3, "the owner must change");
        assertNeverAboveTheLimit(accepted);
    }

    /** Requests tokens; a fate of 0 loses the request, one of 1 the response. */
    private static void requestTokens(ChangingOwner owner, LocalBucket bucket, String node, long id, int fate, long t) {
        TokenMessages.TokenRequest request = new TokenMessages.TokenRequest("b", id, 1, bucket.reports(ms(t)));
        if (fate > 0) {
            TokenMessages.TokenResponse response = owner.bucket.grant(node, request, ms(owner.leaseEnd), ms(t));
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

    /** Otherwise the next term could not refill before these tokens have expired. */
    @Test
    void tokensDoNotOutliveTheLeaseOfTheOwner() {
        AggregateBucket bucket = new AggregateBucket(1, -1, false, LIMIT, ms(0));
        assertEquals(ms(300), bucket.grant("x", request(1, 5), ms(300), ms(0)).lifetime());
        assertEquals(
                ms(200), bucket.grant("x", request(1, 5), ms(300), ms(100)).lifetime(), "nor with a repeated request");
        assertEquals(
                TokenMessages.TOKEN_LIFETIME,
                bucket.grant("x", request(2, 1), ms(1900), ms(100)).lifetime());
    }

    @Test
    void newTermRefillsAtOnceAfterExpiryAndKeepsAReleasedLevel() {
        AggregateBucket lapsed = new AggregateBucket(2, 0, true, LIMIT, ms(0));
        assertEquals(5, lapsed.grant("x", request(1, 9), FAR_FUTURE, ms(500)).granted());
        AggregateBucket moved = new AggregateBucket(2, 8, false, LIMIT, ms(0));
        assertEquals(8, moved.grant("x", request(1, 20), FAR_FUTURE, ms(0)).granted());
        assertEquals(
                0,
                moved.grant("y", request(1, 20), FAR_FUTURE, ms(1000)).granted(),
                "12 tokens of earlier terms and 8 of this one are outstanding");
        assertTrue(moved.grant("y", request(2, 20), FAR_FUTURE, ms(1400)).granted() > 0);
    }
}
