package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Response;

/** Leases of fetched jobs (docs/design.md, section 9.10). */
class LeasesTest {
    private static final int RETURNS = 150;
    private static final long LEASE_MS = SimulatedPlatformFleet.LEASE.toMillis();

    private static PlatformFixture fixtureWithOneMessage(long seed) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(seed, 1);
        fixture.sendUntilAccepted("/pull/x?y=1", "bytes", Map.of());
        return fixture;
    }

    private static String partition(Response pulled) {
        return pulled.headers().get("X-Lease-Id").replaceAll("-.*", "");
    }

    @Test
    void jobCarriesTheRequestAsItArrived() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(1);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(
                "200 POST /pull/x?y=1 tenant-a bytes",
                response.status() + " " + response.headers().get("X-Job-Method") + " "
                        + response.headers().get("X-Job-Target") + " "
                        + response.headers().get("X-Tenant") + " "
                        + new String(response.body()));
        assertTrue(
                response.headers().values().stream().noneMatch(v -> v.contains(PlatformFixture.KEY)),
                "no key may be sent to a processor");
        assertEquals(200, fixture.reportOutcome(response, 200));
        assertEquals(204, fixture.pull("i-1", 1000).status());
    }

    /** The job is delivered again one lease time after the last sign of life, not before and not much later. */
    @Test
    void silentLeaseIsHandedAgainAndNotSooner() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(2);
        Response first = fixture.pull("i-1", 1000);
        Duration fetched = fixture.fleet.sim.now();
        Response second = fixture.pull("i-2", 10_000);
        long waited = fixture.fleet.sim.now().minus(fetched).toMillis();
        assertEquals(first.headers().get("X-Attempt-Id"), second.headers().get("X-Attempt-Id"));
        assertNotEquals(first.headers().get("X-Lease-Id"), second.headers().get("X-Lease-Id"));
        assertTrue(waited >= LEASE_MS && waited < LEASE_MS + 700, "after " + waited + " ms");
    }

    @Test
    void eachExtensionCountsAnew() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(3);
        Response first = fixture.pull("i-1", 1000);
        for (int i = 0; i < 4; i++) {
            fixture.run(LEASE_MS * 2 / 3);
            assertEquals(200, fixture.extendLease(first));
        }
        Duration lastExtension = fixture.fleet.sim.now();
        assertEquals(200, fixture.pull("i-2", 10_000).status());
        assertTrue(
                fixture.fleet.sim.now().minus(lastExtension).toMillis() >= LEASE_MS - 20,
                "after " + fixture.fleet.sim.now().minus(lastExtension));
    }

    /** Guards against rejecting a repeated outcome with 409 because it is forgotten after many attempts (review/5). */
    @Test
    void endIsRememberedHoweverOftenTheJobWasGivenBack() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(14);
        Response fetched = fixture.pull("i-1", 1000);
        Response first = fetched;
        for (int i = 0; i < RETURNS; i++) {
            assertEquals(200, fixture.reportOutcome(fetched, 503));
            assertEquals(200, fixture.reportOutcome(fetched, 503), "repeated return " + i);
            fetched = fixture.pull("i-1", 1000);
            assertEquals(200, fetched.status(), "attempt " + i);
        }
        assertEquals(200, fixture.reportOutcome(first, 503), "repeat of the first return");
        assertEquals(200, fixture.reportOutcome(fetched, 200));
        assertEquals(200, fixture.reportOutcome(fetched, 200));
        String owner = fixture.fleet.owner(partition(fetched)).orElseThrow();
        fixture.fleet.kill(owner);
        fixture.run(6000);
        fixture.fleet.restart(owner);
        fixture.run(6000);
        assertEquals(200, fixture.reportOutcome(fetched, 200), "after a change of the leader and a restart");
        assertEquals(409, fixture.extendLease(fetched));
    }

    @Test
    void repeatedOutcomeGetsTheSameAnswer() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(4);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(200, fixture.reportOutcome(response, 200));
        assertEquals(200, fixture.reportOutcome(response, 200));
        assertEquals(409, fixture.extendLease(response));
    }

    @Test
    void olderLeaseIsRejectedAfterANewerOne() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(5);
        Response expired = fixture.pull("i-1", 1000);
        Response current = fixture.pull("i-2", 10_000);
        assertEquals(409, fixture.extendLease(expired));
        assertEquals(409, fixture.reportOutcome(expired, 200));
        assertEquals(200, fixture.extendLease(current));
        assertEquals(200, fixture.reportOutcome(current, 200));
        assertEquals(409, fixture.reportOutcome(expired, 200));
        assertEquals(409, fixture.reportOutcome(expired, 500));
    }

    @Test
    void unknownLeaseIsRejected() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(6);
        for (String leaseId : new String[] {"m0-99.1", "nonsense", "m7-1.1.1", "m999-1.1"}) {
            Map<String, String> headers = Map.of("x-lease-id", leaseId, "x-job-outcome", "200", "x-server-seal", "s");
            assertEquals(
                    409,
                    fixture.sendToIntake("POST", "/-/job-end/x", headers, "").status(),
                    leaseId);
            assertEquals(
                    409,
                    fixture.sendToIntake("POST", "/-/job-extend/x", headers, "").status(),
                    leaseId);
        }
    }

    /**
     * The new leader does not know when the lease was last extended, so it counts the lease time from its own takeover.
     */
    @Test
    void newOwnerCountsFromTakingOver() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(7);
        Response response = fixture.pull("i-1", 1000);
        fixture.run(1500);
        assertEquals(200, fixture.extendLease(response));
        Duration lastExtension = fixture.fleet.sim.now();
        String previousOwner = fixture.fleet.owner(partition(response)).orElseThrow();
        fixture.fleet.kill(previousOwner);
        assertEquals(200, fixture.pull("i-2", 20_000).status());
        assertNotEquals(previousOwner, fixture.fleet.owner(partition(response)).orElseThrow());
        assertTrue(
                fixture.fleet.sim.now().minus(lastExtension).toMillis() >= LEASE_MS,
                "after " + fixture.fleet.sim.now().minus(lastExtension));
        assertEquals(409, fixture.reportOutcome(response, 200));
    }

    /** A repeated outcome that a failed leader had accepted gets the same response from its successor. */
    @Test
    void acceptedOutcomeSurvivesLeaderChange() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(8);
        Response response = fixture.pull("i-1", 1000);
        assertEquals(200, fixture.reportOutcome(response, 200));
        fixture.fleet.kill(fixture.fleet.owner(partition(response)).orElseThrow());
        fixture.run(6000);
        assertEquals(200, fixture.reportOutcome(response, 200));
    }

    @Test
    void returnedJobCountsAsNoAttempt() throws ServiceException {
        PlatformFixture fixture = fixtureWithOneMessage(9);
        for (int i = 0; i < 6; i++) {
            Response response = fixture.pull("i-1", 5000);
            assertEquals(200, response.status(), "round " + i);
            assertEquals(200, fixture.reportOutcome(response, i % 2 == 0 ? 503 : 429));
        }
        Response last = fixture.pull("i-1", 5000);
        assertEquals(200, fixture.reportOutcome(last, 200));
    }

    @Test
    void failedAttemptsAreCountedAndThenItIsDead() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(10, 1);
        String handle = fixture.sendUntilAccepted("/pull/x", "poison", Map.of());
        for (int i = 0; i < 3; i++) {
            assertEquals("queued", fixture.messageStatus(handle).path("state").asText());
            Response response = fixture.pull("i-1", 20_000);
            assertEquals(200, response.status(), "attempt " + i);
            assertEquals(200, fixture.reportOutcome(response, 500));
        }
        assertEquals("dead_letter", fixture.messageStatus(handle).path("state").asText());
        assertEquals("poison", new String(fixture.messageBody(handle).body()));
        assertEquals(204, fixture.pull("i-1", 1000).status());
    }

    @Test
    void expiredLeasesCountAsNoAttempt() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(11, 1);
        String handle = fixture.sendUntilAccepted("/pull/x", "body", Map.of());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, fixture.pull("i-" + i, 10_000).status(), "round " + i);
        }
        Response response = fixture.pull("i-9", 10_000);
        assertEquals(200, fixture.reportOutcome(response, 200));
        assertEquals("completed", fixture.messageStatus(handle).path("state").asText());
        assertEquals(
                "seal-" + response.headers().get("X-Lease-Id"),
                fixture.messageStatus(handle).path("seal").asText());
    }

    /** The next message of an ordering key waits while the first is leased, and also after that lease has expired. */
    @Test
    void orderedMessageKeepsItsPlaceWhileItsLeaseLapses() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(12, 1);
        Map<String, String> key = Map.of("x-order-key", "k");
        fixture.sendUntilAccepted("/turn/x", "first", key);
        fixture.sendUntilAccepted("/turn/x", "second", key);
        assertEquals("first", new String(fixture.pull("i-1", 1000).body()));
        assertEquals(204, fixture.pull("i-2", 1000).status());
        Response again = fixture.pull("i-2", 10_000);
        assertEquals("first", new String(again.body()));
        assertEquals(200, fixture.reportOutcome(again, 422));
        assertEquals("second", new String(fixture.pull("i-2", 5000).body()));
    }
}
