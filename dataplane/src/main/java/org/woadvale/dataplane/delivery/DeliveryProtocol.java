package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.woadvale.dataplane.queue.Message;

/** Seam: how a delivery is written for a back end, and what its answer means. (docs/design.md, section 9.3) */
public interface DeliveryProtocol {
    /** The request for one attempt; limit is how long the attempt may take. */
    DeliveryClient.DeliveryRequest push(
            Message message, DeliveryTargets.Target to, Duration limit, BooleanSupplier still);

    /** What the response to a push means. */
    Verdict read(Message message, DeliveryClient.DeliveryResponse deliveryResponse);

    /** Whether a back end can be asked what became of an attempt. */
    boolean supportsInquiry();
}
