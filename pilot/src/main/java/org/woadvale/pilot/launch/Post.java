package org.woadvale.pilot.launch;

import java.time.Duration;

import reactor.core.publisher.Mono;

/** Seam to the back ends: fails with UNREACHABLE if nothing was sent, else with UNKNOWN_OUTCOME. */
@FunctionalInterface
public interface Post {
    record Reply(int status, byte[] body) { }

    Mono<Reply> send(String method, String url, byte[] body, Duration limit);
}
