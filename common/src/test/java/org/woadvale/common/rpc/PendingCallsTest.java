package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.publisher.Mono;

class PendingCallsTest {
    private static final Duration LONG = Duration.ofSeconds(20);

    private final SystemTimers timers = new SystemTimers(1);

    @AfterEach
    void close() {
        timers.close();
    }

    /** Guards against a call on a channel that has just closed being reported as an internal error. */
    @Test
    void callOnAClosedChannelIsUnreachable() {
        PendingCalls calls = new PendingCalls(timers);
        ErrorKind kind = calls.call("question", LONG, frame -> {
                    throw new IllegalStateException("channel not registered to an event loop");
                })
                .map(response -> ErrorKind.INTERNAL)
                .onErrorResume(e -> Mono.just(ServiceException.of(e).kind()))
                .block(LONG);
        assertEquals(ErrorKind.UNREACHABLE, kind);
    }
}
