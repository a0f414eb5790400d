package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.woadvale.dataplane.queue.Message;

/** How a delivery is encoded for a back end, and what its response means. (docs/design.md, section 9.3) */
public interface DeliveryProtocol {
    /** The request for one attempt, which may take as long as the timeout. */
    DeliveryClient.DeliveryRequest createPushRequest(
            Message message, DeliveryTargets.Target target, Duration timeout, BooleanSupplier stillPermitted);

    /** What the response to a push means. */
    Verdict classifyResponse(Message message, DeliveryClient.DeliveryResponse response);

    /** Whether a back end can be asked for the outcome of an attempt. */
    boolean supportsInquiry();
}
