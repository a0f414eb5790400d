package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import reactor.core.publisher.Mono;

/** One control node reads the processor list for the whole fleet (docs/design.md, section 6.7). */
class ProcessorRegistryTest {
    private static final String KEY = ServiceNames.processors("book");
    private static final String ADDRESS = "10.9.0.1:8080";

    private static ServiceView view(PlatformFixture fixture) {
        String partition = ServiceNames.controlPartition(KEY);
        String owner = fixture.fleet.controlNodes.stream()
                .filter(node -> fixture.fleet.host(node).alive()
                        && fixture.fleet.controlNode(node).replica(partition).isActiveLeader())
                .findFirst()
                .orElseThrow();
        return fixture.fleet
                .controlNode(owner)
                .replica(partition)
                .inspect(state ->
                        fixture.fleet.controlNode(owner).stateMachine(partition).service(KEY));
    }

    @Test
    void wholeListIsTakenFromAllPagesAndWrittenOnlyWhereItDiffers() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(1, 1);
        for (int i = 0; i < 8; i++) {
            fixture.processorList.put("i-" + i, i % 2 == 0 ? "book" : "same", "10.9.0." + i + ":8080", 4, "ready");
        }
        fixture.run(3000);
        ServiceView first = view(fixture);
        assertEquals(4, first.processors().size());
        assertEquals(
                "http://10.9.0.2:8080 4",
                first.processors().get("i-2").address() + " "
                        + first.processors().get("i-2").slots());
        fixture.run(5000);
        assertEquals(first.version(), view(fixture).version(), "an unchanged list was written again");
        fixture.processorList.put("i-2", "book", "10.9.0.2:8080", 4, "draining");
        fixture.run(3000);
        assertTrue(view(fixture).processors().get("i-2").leaving());
        assertEquals(4, view(fixture).processors().size());
        fixture.processorList.drop("i-2");
        fixture.run(3000);
        assertEquals(3, view(fixture).processors().size());
    }

    @Test
    void fleetPollsNoMoreOftenThanASingleReader() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(2, 2);
        fixture.run(2000);
        int before = fixture.processorList.calls();
        fixture.run(14_000);
        int calls = fixture.processorList.calls() - before;
        assertTrue(calls >= 15 && calls <= 25, calls + " calls in 14 s");
        assertEquals(0, fixture.processorList.refused());
    }

    /** The list that was read last stays in force while the list is unavailable. */
    @Test
    void unavailableListChangesNothing() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(3, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        fixture.processorList.setUnavailable(true);
        fixture.run(8000);
        assertEquals(1, view(fixture).processors().size());
        fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.run(2000);
        assertEquals(1, fixture.received.size());
    }

    @Test
    void nextConfigurationLeaderContinuesPolling() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(4, 1);
        String owner = fixture.fleet.controlNodes.stream()
                .filter(node -> fixture.fleet.controlNode(node).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        fixture.fleet.kill(owner);
        fixture.run(4000);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        assertEquals(1, view(fixture).processors().size());
    }

    @Test
    void drainingProcessorReceivesNoMoreMessages() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(5, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.run(1500);
        assertEquals(1, fixture.received.size());
        Duration shown = fixture.processorList.put("i-1", "book", ADDRESS, 4, "draining");
        for (int i = 0; i < 40; i++) {
            fixture.sendUntilAccepted("/push/x", "b", Map.of());
            fixture.run(150);
        }
        Duration last = fixture.received.get(fixture.received.size() - 1).receivedAt();
        assertTrue(
                last.minus(shown).toMillis() < 2500,
                "received work until " + last.minus(shown) + " after the list showed it");
        fixture.processor("i-2", "book", "10.9.0.2:8080", request -> Mono.just(PlatformFixture.success(request)));
        fixture.run(3000);
        assertEquals(41, fixture.received.size());
    }

    /** A removed processor's address may be reused by another service; its instance ID is then not the expected one. */
    @Test
    void reusedAddressReceivesTheExpectedInstanceId() throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(6, 1);
        fixture.processor("i-1", "book", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.run(1500);
        assertEquals("i-1", fixture.received.get(0).request().headers().get("x-expect-instance"));
        fixture.processorList.drop("i-1");
        fixture.processor("i-7", "same", ADDRESS, request -> Mono.just(PlatformFixture.success(request)));
        fixture.sendUntilAccepted("/push/x", "b", Map.of());
        fixture.run(3000);
        assertEquals(1, fixture.received.size(), "no processor serves the first service any more");
    }
}
