package org.woadvale.dataplane.delivery;

import com.fasterxml.jackson.databind.util.RawValue;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.woadvale.common.config.Configurations;
import org.woadvale.dataplane.queue.Message;

/**
 * The native protocol: a JSON request with message id and attempt, answered by an echo of both with a receipt.
 * (docs/design.md, section 9.3)
 */
public final class NativeDeliveryProtocol implements DeliveryProtocol {
    @Override
    public DeliveryClient.DeliveryRequest createPushRequest(
            Message message, DeliveryTargets.Target target, Duration timeout, BooleanSupplier stillPermitted) {
        return new DeliveryClient.DeliveryRequest(
                "POST", target.address() + "/messages", body(message), timeout, stillPermitted);
    }

    @Override
    public Verdict classifyResponse(Message message, DeliveryClient.DeliveryResponse response) {
        return Verdict.ofPush(response, message.handle(), message.attempt());
    }

    @Override
    public boolean supportsInquiry() {
        return true;
    }

    private static byte[] body(Message message) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("messageId", message.handle());
        body.put("attempt", message.attempt());
        body.put("callerId", message.id());
        body.put("tenant", message.tenant());
        body.put("lane", message.lane());
        body.put("orderingKey", message.orderKey());
        body.put("body", new RawValue(new String(message.body(), StandardCharsets.UTF_8)));
        return Configurations.write(body);
    }
}
