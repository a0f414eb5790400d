package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/** One control node reads the list for all: design 6.7. */
class ProcessorRegistryTest {
    private static final String KEY = ServiceNames.processors("book");
    private static final String AT = "10.9.0.1:8080";

    private static ServiceView view(Shore s) {
        String part = ServiceNames.controlPart(KEY);
        String owner = s.r.lighthouses.stream()
                .filter(l ->
                        s.r.host(l).alive() && s.r.controlNode(l).replica(part).isActiveLeader())
                .findFirst()
                .orElseThrow();
        return s.r.controlNode(owner)
                .replica(part)
                .look(i -> s.r.controlNode(owner).machine(part).service(KEY));
    }

    @Test
    void wholeListIsTakenFromAllPagesAndWrittenOnlyWhereItDiffers() throws ServiceException {
        Shore s = new Shore(1, 1);
        for (int i = 0; i < 8; i++) {
            s.processorList.put("i-" + i, i % 2 == 0 ? "book" : "same", "10.9.0." + i + ":8080", 4, "ready");
        }
        s.run(3000);
        ServiceView first = view(s);
        assertEquals(4, first.processors().size());
        assertEquals(
                "http://10.9.0.2:8080 4",
                first.processors().get("i-2").address() + " "
                        + first.processors().get("i-2").slots());
        s.run(5000);
        assertEquals(first.version(), view(s).version(), "nothing differs, nothing is written");
        s.processorList.put("i-2", "book", "10.9.0.2:8080", 4, "draining");
        s.run(3000);
        assertTrue(view(s).processors().get("i-2").leaving());
        assertEquals(4, view(s).processors().size());
        s.processorList.drop("i-2");
        s.run(3000);
        assertEquals(3, view(s).processors().size());
    }

    @Test
    void fleetAsksNoOftenerThanOneReaderDoes() throws ServiceException {
        Shore s = new Shore(2, 2);
        s.run(2000);
        int before = s.processorList.calls();
        s.run(14_000);
        int calls = s.processorList.calls() - before;
        assertTrue(calls >= 15 && calls <= 25, calls + " calls in 14 s");
        assertEquals(0, s.processorList.refused());
    }

    /** What is being read stays in force while the list cannot be had. */
    @Test
    void listThatIsDownChangesNothing() throws ServiceException {
        Shore s = new Shore(3, 1);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.done(q)));
        s.processorList.down(true);
        s.run(8000);
        assertEquals(1, view(s).processors().size());
        s.accepted("/push/x", "b", Map.of());
        s.run(2000);
        assertEquals(1, s.got.size());
    }

    @Test
    void nextOwnerOfTheLayoutsPartReadsOn() throws ServiceException {
        Shore s = new Shore(4, 1);
        String owner = s.r.lighthouses.stream()
                .filter(l -> s.r.controlNode(l).replica("c0").isActiveLeader())
                .findFirst()
                .orElseThrow();
        s.r.kill(owner);
        s.run(4000);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.done(q)));
        assertEquals(1, view(s).processors().size());
    }

    @Test
    void drainingProcessorGetsNothingMore() throws ServiceException {
        Shore s = new Shore(5, 1);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.done(q)));
        s.accepted("/push/x", "b", Map.of());
        s.run(1500);
        assertEquals(1, s.got.size());
        Duration shown = s.processorList.put("i-1", "book", AT, 4, "draining");
        for (int i = 0; i < 40; i++) {
            s.accepted("/push/x", "b", Map.of());
            s.run(150);
        }
        Duration last = s.got.get(s.got.size() - 1).at();
        assertTrue(
                last.minus(shown).toMillis() < 2500,
                "got work until " + last.minus(shown) + " after the list showed it");
        s.processor("i-2", "book", "10.9.0.2:8080", q -> Mono.just(Shore.done(q)));
        s.run(3000);
        assertEquals(41, s.got.size());
    }

    /** Another service may take the address of one that is gone: its id is no more the one that is expected. */
    @Test
    void reusedAddressIsToldWhoIsExpected() throws ServiceException {
        Shore s = new Shore(6, 1);
        s.processor("i-1", "book", AT, q -> Mono.just(Shore.done(q)));
        s.accepted("/push/x", "b", Map.of());
        s.run(1500);
        assertEquals("i-1", s.got.get(0).q().headers().get("x-expect-instance"));
        s.processorList.drop("i-1");
        s.processor("i-7", "same", AT, q -> Mono.just(Shore.done(q)));
        s.accepted("/push/x", "b", Map.of());
        s.run(3000);
        assertEquals(1, s.got.size(), "nobody serves the first service any more");
    }
}
