package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;
import reactor.core.Disposable;

/** The processor stub keeps the promises of docs/api.md, also when its caller disconnects. */
class BackendTest {
    private static final Clock CLOCK = new Clock() {
        @Override
        public Duration monotonicTime() {
            return Duration.ZERO;
        }

        @Override
        public Instant wallTime() {
            return Instant.EPOCH;
        }
    };

    private final List<Runnable> timers = new ArrayList<>();
    private final Backend backend =
            new Backend("p0", "reserve", false, new Observations(), CLOCK, new CollectedTimers(), () -> 0L);

    /** Timers that fire only when the test runs them. */
    private final class CollectedTimers implements Timers {
        @Override
        public TimerHandle after(Duration delay, Runnable task) {
            timers.add(task);
            return () -> timers.remove(task);
        }

        @Override
        public void execute(Runnable task) {
            timers.add(task);
        }

        @Override
        public void executeDiskTask(Runnable task) {
            timers.add(task);
        }
    }

    private static Request request(String method, String path, Object body) {
        return new Request(method, path, Map.of(), Configurations.write(body));
    }

    private String state() throws Exception {
        byte[] answer = backend.answer(request("GET", "/runs/m1-1?attempt=1", Map.of()))
                .block()
                .body();
        return Configurations.JSON.readTree(answer).path("state").asText();
    }

    /** Killing the store that sent a message closes its connection but does not stop the run. */
    @Test
    void runCompletesAfterItsCallerDisconnects() throws Exception {
        Disposable call = backend.answer(request("POST", "/messages", Map.of("messageId", "m1-1", "attempt", 1)))
                .subscribe();
        assertEquals("running", state());
        call.dispose();
        List.copyOf(timers).forEach(Runnable::run);
        assertEquals("done", state());
    }
}
