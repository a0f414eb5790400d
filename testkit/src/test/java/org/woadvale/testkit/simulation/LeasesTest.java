package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.http.Response;
import org.woadvale.common.runtime.ServiceException;

/** Fetched work is held by a lease: design 9.10. */
class LeasesTest {
    private static final long LEASE_MS = NetworkSimulation.LEASE.toMillis();

    private static Shore withOne(long seed) throws ServiceException {
        Shore s = new Shore(seed, 1);
        s.accepted("/pull/x?y=1", "bytes", Map.of());
        return s;
    }

    private static String part(Response pulled) {
        return pulled.headers().get("X-Lease-Id").replaceAll("-.*", "");
    }

    @Test
    void jobCarriesTheRequestAsItArrived() throws ServiceException {
        Shore s = withOne(1);
        Response a = s.pull("i-1", 1000);
        assertEquals(
                "200 POST /pull/x?y=1 tenant-a bytes",
                a.status() + " " + a.headers().get("X-Job-Method") + " "
                        + a.headers().get("X-Job-Target") + " " + a.headers().get("X-Tenant") + " "
                        + new String(a.body()));
        assertTrue(a.headers().values().stream().noneMatch(v -> v.contains(Shore.KEY)), "no key goes to a processor");
        assertEquals(200, s.end(a, 200));
        assertEquals(204, s.pull("i-1", 1000).status());
    }

    /** Not sooner than a lease after the last word, and not much later. */
    @Test
    void silentLeaseIsHandedAgainAndNotSooner() throws ServiceException {
        Shore s = withOne(2);
        Response first = s.pull("i-1", 1000);
        Duration given = s.r.sim.now();
        Response second = s.pull("i-2", 10_000);
        long waited = s.r.sim.now().minus(given).toMillis();
        assertEquals(first.headers().get("X-Attempt-Id"), second.headers().get("X-Attempt-Id"));
        assertNotEquals(first.headers().get("X-Lease-Id"), second.headers().get("X-Lease-Id"));
        assertTrue(waited >= LEASE_MS && waited < LEASE_MS + 700, "after " + waited + " ms");
    }

    @Test
    void eachExtensionCountsAnew() throws ServiceException {
        Shore s = withOne(3);
        Response first = s.pull("i-1", 1000);
        for (int i = 0; i < 4; i++) {
            s.run(LEASE_MS * 2 / 3);
            assertEquals(200, s.extend(first));
        }
        Duration word = s.r.sim.now();
        assertEquals(200, s.pull("i-2", 10_000).status());
        assertTrue(
                s.r.sim.now().minus(word).toMillis() >= LEASE_MS - 20,
                "after " + s.r.sim.now().minus(word));
    }

    @Test
    void endIsTakenOnceAndSaidAgainHasTheSameAnswer() throws ServiceException {
        Shore s = withOne(4);
        Response a = s.pull("i-1", 1000);
        assertEquals(200, s.end(a, 200));
        assertEquals(200, s.end(a, 200));
        assertEquals(409, s.extend(a));
    }

    @Test
    void olderLeaseIsGoneAfterANewerOne() throws ServiceException {
        Shore s = withOne(5);
        Response old = s.pull("i-1", 1000);
        Response fresh = s.pull("i-2", 10_000);
        assertEquals(409, s.extend(old));
        assertEquals(409, s.end(old, 200));
        assertEquals(200, s.extend(fresh));
        assertEquals(200, s.end(fresh, 200));
        assertEquals(409, s.end(old, 200));
        assertEquals(409, s.end(old, 500));
    }

    @Test
    void unknownLeaseIsGone() throws ServiceException {
        Shore s = withOne(6);
        for (String word : new String[] {"m0-99.1", "nonsense", "m7-1.1.1", "m999-1.1"}) {
            Map<String, String> h = Map.of("x-lease-id", word, "x-job-outcome", "200", "x-server-seal", "s");
            assertEquals(409, s.front("POST", "/-/job-end/x", h, "").status(), word);
            assertEquals(409, s.front("POST", "/-/job-extend/x", h, "").status(), word);
        }
    }

    /** The predecessor's last word is not known to the new owner: it counts from when it took over. */
    @Test
    void newOwnerCountsFromTakingOver() throws ServiceException {
        Shore s = withOne(7);
        Response a = s.pull("i-1", 1000);
        s.run(1500);
        assertEquals(200, s.extend(a));
        Duration word = s.r.sim.now();
        String before = s.r.owner(part(a)).orElseThrow();
        s.r.kill(before);
        assertEquals(200, s.pull("i-2", 20_000).status());
        assertNotEquals(before, s.r.owner(part(a)).orElseThrow());
        assertTrue(
                s.r.sim.now().minus(word).toMillis() >= LEASE_MS,
                "after " + s.r.sim.now().minus(word));
        assertEquals(409, s.end(a, 200));
    }

    /** An end that was taken by an owner that is gone has the same answer from its successor. */
    @Test
    void takenEndIsRememberedAcrossOwners() throws ServiceException {
        Shore s = withOne(8);
        Response a = s.pull("i-1", 1000);
        assertEquals(200, s.end(a, 200));
        s.r.kill(s.r.owner(part(a)).orElseThrow());
        s.run(6000);
        assertEquals(200, s.end(a, 200));
    }

    @Test
    void workGivenBackUnrunCountsAsNoAttempt() throws ServiceException {
        Shore s = withOne(9);
        for (int i = 0; i < 6; i++) {
            Response a = s.pull("i-1", 5000);
            assertEquals(200, a.status(), "round " + i);
            assertEquals(200, s.end(a, i % 2 == 0 ? 503 : 429));
        }
        Response last = s.pull("i-1", 5000);
        assertEquals(200, s.end(last, 200));
    }

    @Test
    void failedAttemptsAreCountedAndThenItIsDead() throws ServiceException {
        Shore s = new Shore(10, 1);
        String handle = s.accepted("/pull/x", "poison", Map.of());
        for (int i = 0; i < 3; i++) {
            assertEquals("queued", s.state(handle).path("state").asText());
            Response a = s.pull("i-1", 20_000);
            assertEquals(200, a.status(), "attempt " + i);
            assertEquals(200, s.end(a, 500));
        }
        assertEquals("dead_letter", s.state(handle).path("state").asText());
        assertEquals("poison", new String(s.bytes(handle).body()));
        assertEquals(204, s.pull("i-1", 1000).status());
    }

    @Test
    void lapsedLeasesCountAsNoAttempt() throws ServiceException {
        Shore s = new Shore(11, 1);
        String handle = s.accepted("/pull/x", "body", Map.of());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, s.pull("i-" + i, 10_000).status(), "round " + i);
        }
        Response a = s.pull("i-9", 10_000);
        assertEquals(200, s.end(a, 200));
        assertEquals("completed", s.state(handle).path("state").asText());
        assertEquals(
                "seal-" + a.headers().get("X-Lease-Id"),
                s.state(handle).path("seal").asText());
    }

    /** The next of the key waits while the first is held, and while its lease lapses. */
    @Test
    void orderedMessageKeepsItsPlaceWhileItsLeaseLapses() throws ServiceException {
        Shore s = new Shore(12, 1);
        Map<String, String> key = Map.of("x-order-key", "k");
        s.accepted("/turn/x", "first", key);
        s.accepted("/turn/x", "second", key);
        assertEquals("first", new String(s.pull("i-1", 1000).body()));
        assertEquals(204, s.pull("i-2", 1000).status());
        Response again = s.pull("i-2", 10_000);
        assertEquals("first", new String(again.body()));
        assertEquals(200, s.end(again, 422));
        assertEquals("second", new String(s.pull("i-2", 5000).body()));
    }
}
