package org.woadvale.dataplane.delivery;

import com.fasterxml.jackson.databind.util.RawValue;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.woadvale.common.config.Configurations;
import org.woadvale.dataplane.queue.Message;

/** The product's own way: JSON with message id and attempt, answered by an echo with a receipt. design 9.3 */
public final class NativeDeliveryProtocol implements DeliveryProtocol {
    @Override
    public DeliveryClient.DeliveryRequest push(
            Message message, DeliveryTargets.Target to, Duration limit, BooleanSupplier still) {
        return new DeliveryClient.DeliveryRequest("POST", to.address() + "/messages", body(message), limit, still);
    }

    @Override
    public Verdict read(Message message, DeliveryClient.DeliveryResponse deliveryResponse) {
        return Verdict.ofPush(deliveryResponse, message.handle(), message.attempt());
    }

    @Override
    public boolean inquires() {
        return true;
    }

    private static byte[] body(Message message) {
        Map<String, Object> b = new LinkedHashMap<>();
        b.put("messageId", message.handle());
        b.put("attempt", message.attempt());
        b.put("callerId", message.id());
        b.put("tenant", message.tenant());
        b.put("lane", message.lane());
        b.put("orderingKey", message.orderKey());
        b.put("body", new RawValue(new String(message.body(), StandardCharsets.UTF_8)));
        return Configurations.write(b);
    }
}
