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
            Message m, DeliveryTargets.Target to, Duration limit, BooleanSupplier still) {
        return new DeliveryClient.DeliveryRequest("POST", to.address() + "/messages", body(m), limit, still);
    }

    @Override
    public Verdict read(Message m, DeliveryClient.DeliveryResponse r) {
        return Verdict.ofPush(r, m.handle(), m.attempt());
    }

    @Override
    public boolean inquires() {
        return true;
    }

    private static byte[] body(Message m) {
        Map<String, Object> b = new LinkedHashMap<>();
        b.put("messageId", m.handle());
        b.put("attempt", m.attempt());
        b.put("callerId", m.id());
        b.put("tenant", m.tenant());
        b.put("lane", m.lane());
        b.put("orderingKey", m.orderKey());
        b.put("body", new RawValue(new String(m.body(), StandardCharsets.UTF_8)));
        return Configurations.write(b);
    }
}
