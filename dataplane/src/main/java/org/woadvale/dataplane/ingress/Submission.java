package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;

/**
 * A message as a caller submits it, through any API. (docs/design.md, section 9.12)
 *
 * @param secret the caller's key in plain text
 * @param id the caller's message id, the same for every repeat
 * @param delayMs the delay in milliseconds from now
 * @param envelope opaque to the data plane
 * @param body opaque to the data plane
 * @param patience how long the caller waits for a response
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
    /** Returns a hash that distinguishes a repeat from different content under the same id. */
    String hash() {
        return Configurations.sha256(orderKey + "\n" + delayMs + "\n" + new TreeMap<>(envelope) + "\n"
                + Base64.getEncoder().encodeToString(body));
    }
}
