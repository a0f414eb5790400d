package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;

/**
 * A message as it is handed in, by whichever door. Secret: the caller's key in clear; id: the caller's, alike for every
 * repeat; delay in milliseconds from now; body and envelope are opaque; patience: how long the caller waits for an
 * answer. (docs/design.md, section 9.12)
 */
public record Submission(
        String secret,
        String lane,
        String id,
        String orderKey,
        long delayMs,
        Map<String, String> envelope,
        byte[] body,
        Duration patience) {
    /** Tells a repeat from another content under the same id. */
    String hash() {
        return Configurations.sha256(orderKey + "\n" + delayMs + "\n" + new TreeMap<>(envelope) + "\n"
                + Base64.getEncoder().encodeToString(body));
    }
}
