package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** Sends requests to back ends; fails with UNREACHABLE if nothing was sent, otherwise with UNKNOWN_OUTCOME. */
@FunctionalInterface
public interface DeliveryClient {
    /** Header names are in lower case. */
    record DeliveryResponse(int status, Map<String, String> headers, byte[] body) {
        /** A response without headers. */
        public DeliveryResponse(int status, byte[] body) {
            this(status, Map.of(), body);
        }
    }

    /**
     * {@code stillPermitted} is evaluated once the connection is open, right before the first byte is sent. A response
     * that does not have each header of {@code expectedEcho} (names in lower case) exactly once and with the same value
     * belongs to another request. (docs/design.md, section 9.3)
     */
    record DeliveryRequest(
            String method,
            String url,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            BooleanSupplier stillPermitted,
            Map<String, String> expectedEcho) {
        /** A request without headers, whose response repeats none. */
        public DeliveryRequest(
                String method, String url, byte[] body, Duration timeout, BooleanSupplier stillPermitted) {
            this(method, url, Map.of("Content-Type", "application/json"), body, timeout, stillPermitted, Map.of());
        }
    }

    /** Sends a request; fails if there was no complete response in time. */
    Mono<DeliveryResponse> send(DeliveryRequest request);
}
