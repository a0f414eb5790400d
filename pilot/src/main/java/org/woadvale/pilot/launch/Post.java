package org.woadvale.pilot.launch;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import reactor.core.publisher.Mono;

/** Seam to the back ends: fails with UNREACHABLE if nothing was sent, else with UNKNOWN_OUTCOME. */
@FunctionalInterface
public interface Post {
    record Reply(int status, byte[] body) { }

    /** Whether it may still be sent is asked once the stream is open, right before the first byte. design 9.3 */
    record Call(String method, String url, byte[] body, Duration limit, BooleanSupplier still) { }

    Mono<Reply> send(Call call);
}
