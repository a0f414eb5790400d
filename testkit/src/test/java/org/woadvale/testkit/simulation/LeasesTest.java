package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Response;

/** Fetched work is held by a lease (docs/design.md, section 9.10). */
class LeasesTest {
    private static final int GIVEN_BACK = 150;
    private static final long LEASE_MS = SimulatedPlatformFleet.LEASE.toMillis();

    private static PlatformFixture withOne(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 1);
        fixture.accepted("/pull/x?y=1", "bytes", Map.of());
        return fixture;
    }

    private static String part(Response pulled) {
        return pulled.headers().get("X-Lease-Id").replaceAll("-.*", "");
    }

    @Test
    void jobCarriesTheRequestAsItArrived() throws ServiceException {
        PlatformFixture fixture = withOne(1);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(
                "200 POST /pull/x?y=1 tenant-a bytes",
                response.status() + " " + response.headers().get("X-Job-Method") + " "
                        + response.headers().get("X-Job-Target") + " "
                        + response.headers().get("X-Tenant") + " "
                        + new String(response.body()));
        assertTrue(
                response.headers().values().stream().noneMatch(v -> v.contains(PlatformFixture.KEY)),
                "no key goes to a processor");
        assertEquals(200, fixture.end(response, 200));
        assertEquals(204, fixture.pull("i-1", 1000).status());
    }

    /** Not sooner than a lease after the last word, and not much later. */
    @Test
    void silentLeaseIsHandedAgainAndNotSooner() throws ServiceException {
        PlatformFixture fixture = withOne(2);
        Response first = fixture.pull("i-1", 1000);
        Duration given = fixture.r.sim.now();
        Response second = fixture.pull("i-2", 10_000);
        long waited = fixture.r.sim.now().minus(given).toMillis();
        assertEquals(first.headers().get("X-Attempt-Id"), second.headers().get("X-Attempt-Id"));
        assertNotEquals(first.headers().get("X-Lease-Id"), second.headers().get("X-Lease-Id"));
        assertTrue(waited >= LEASE_MS && waited < LEASE_MS + 700, "after " + waited + " ms");
    }

    @Test
    void eachExtensionCountsAnew() throws ServiceException {
        PlatformFixture fixture = withOne(3);
        Response first = fixture.pull("i-1", 1000);
        for (int i = 0; i < 4; i++) {
            fixture.run(LEASE_MS * 2 / 3);
            assertEquals(200, fixture.extend(first));
        }
        Duration word = fixture.r.sim.now();
        assertEquals(200, fixture.pull("i-2", 10_000).status());
        assertTrue(
                fixture.r.sim.now().minus(word).toMillis() >= LEASE_MS - 20,
                "after " + fixture.r.sim.now().minus(word));
    }

    /** Guards against an end that is forgotten because many attempts came before it: it was refused with 409 (review/5). */
    @Test
    void endIsRememberedHoweverOftenTheJobWasGivenBack() throws ServiceException {
        PlatformFixture fixture = withOne(14);
        Response given = fixture.pull("i-1", 1000);
        Response first = given;
        for (int i = 0; i < GIVEN_BACK; i++) {
            assertEquals(200, fixture.end(given, 503));
            assertEquals(200, fixture.end(given, 503), "given back again, time " + i);
            given = fixture.pull("i-1", 1000);
            assertEquals(200, given.status(), "time " + i);
        }
        assertEquals(200, fixture.end(first, 503), "the very first comes once more");
        assertEquals(200, fixture.end(given, 200));
        assertEquals(200, fixture.end(given, 200));
        String owner = fixture.r.owner(part(given)).orElseThrow();
        fixture.r.kill(owner);
        fixture.run(6000);
        fixture.r.restart(owner);
        fixture.run(6000);
        assertEquals(200, fixture.end(given, 200), "after a change of the owner and a restart");
        assertEquals(409, fixture.extend(given));
    }

    @Test
    void endIsTakenOnceAndSaidAgainHasTheSameAnswer() throws ServiceException {
        PlatformFixture fixture = withOne(4);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(200, fixture.end(response, 200));
        assertEquals(200, fixture.end(response, 200));
        assertEquals(409, fixture.extend(response));
    }

    @Test
    void olderLeaseIsGoneAfterANewerOne() throws ServiceException {
        PlatformFixture fixture = withOne(5);
        Response old = fixture.pull("i-1", 1000);
        Response fresh = fixture.pull("i-2", 10_000);
        assertEquals(409, fixture.extend(old));
        assertEquals(409, fixture.end(old, 200));
        assertEquals(200, fixture.extend(fresh));
        assertEquals(200, fixture.end(fresh, 200));
        assertEquals(409, fixture.end(old, 200));
        assertEquals(409, fixture.end(old, 500));
    }

    @Test
    void unknownLeaseIsGone() throws ServiceException {
        PlatformFixture fixture = withOne(6);
        for (String word : new String[] {"m0-99.1", "nonsense", "m7-1.1.1", "m999-1.1"}) {
            Map<String, String> h = Map.of("x-lease-id", word, "x-job-outcome", "200", "x-server-seal", "s");
            assertEquals(409, fixture.front("POST", "/-/job-end/x", h, "").status(), word);
            assertEquals(409, fixture.front("POST", "/-/job-extend/x", h, "").status(), word);
        }
    }

    /** The predecessor's last word is not known to the new owner: it counts from when it took over. */
    @Test
    void newOwnerCountsFromTakingOver() throws ServiceException {
        PlatformFixture fixture = withOne(7);
        Response response = fixture.pull("i-1", 1000);
        fixture.run(1500);
        assertEquals(200, fixture.extend(response));
        Duration word = fixture.r.sim.now();
        String before = fixture.r.owner(part(response)).orElseThrow();
        fixture.r.kill(before);
        assertEquals(200, fixture.pull("i-2", 20_000).status());
        assertNotEquals(before, fixture.r.owner(part(response)).orElseThrow());
        assertTrue(
                fixture.r.sim.now().minus(word).toMillis() >= LEASE_MS,
                "after " + fixture.r.sim.now().minus(word));
        assertEquals(409, fixture.end(response, 200));
    }

    /** An end that was taken by an owner that is gone has the same answer from its successor. */
    @Test
    void takenEndIsRememberedAcrossOwners() throws ServiceException {
        PlatformFixture fixture = withOne(8);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(200, fixture.end(response, 200));
        fixture.r.kill(fixture.r.owner(part(response)).orElseThrow());
        fixture.run(6000);
        assertEquals(200, fixture.end(response, 200));
    }

    @Test
    void workGivenBackUnrunCountsAsNoAttempt() throws ServiceException {
        PlatformFixture fixture = withOne(9);
        for (int i = 0; i < 6; i++) {
            Response response = fixture.pull("i-1", 5000);
            assertEquals(200, response.status(), "round " + i);
            assertEquals(200, fixture.end(response, i % 2 == 0 ? 503 : 429));
        }
        Response last = fixture.pull("i-1", 5000);
        assertEquals(200, fixture.end(last, 200));
    }

    @Test
    void failedAttemptsAreCountedAndThenItIsDead() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(10, 1);
        String handle = fixture.accepted("/pull/x", "poison", Map.of());
        for (int i = 0; i < 3; i++) {
            assertEquals("queued", fixture.state(handle).path("state").asText());
            Response response = fixture.pull("i-1", 20_000);
            assertEquals(200, response.status(), "attempt " + i);
            assertEquals(200, fixture.end(response, 500));
        }
        assertEquals("dead_letter", fixture.state(handle).path("state").asText());
        assertEquals("poison", new String(fixture.bytes(handle).body()));
        assertEquals(204, fixture.pull("i-1", 1000).status());
    }

    @Test
    void lapsedLeasesCountAsNoAttempt() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(11, 1);
        String handle = fixture.accepted("/pull/x", "body", Map.of());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, fixture.pull("i-" + i, 10_000).status(), "round " + i);
        }
        Response response = fixture.pull("i-9", 10_000);
        assertEquals(200, fixture.end(response, 200));
        assertEquals("completed", fixture.state(handle).path("state").asText());
        assertEquals(
                "seal-" + response.headers().get("X-Lease-Id"),
                fixture.state(handle).path("seal").asText());
    }

    /** The next of the key waits while the first is held, and while its lease lapses. */
    @Test
    void orderedMessageKeepsItsPlaceWhileItsLeaseLapses() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(12, 1);
        Map<String, String> key = Map.of("x-order-key", "k");
        fixture.accepted("/turn/x", "first", key);
        fixture.accepted("/turn/x", "second", key);
        assertEquals("first", new String(fixture.pull("i-1", 1000).body()));
        assertEquals(204, fixture.pull("i-2", 1000).status());
        Response again = fixture.pull("i-2", 10_000);
        assertEquals("first", new String(again.body()));
        assertEquals(200, fixture.end(again, 422));
        assertEquals("second", new String(fixture.pull("i-2", 5000).body()));
    }
}
