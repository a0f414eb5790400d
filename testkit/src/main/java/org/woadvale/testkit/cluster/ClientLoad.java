package org.woadvale.testkit.cluster;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.woadvale.client.ApiClient;
import org.woadvale.client.ApiException;
import org.woadvale.client.api.CallersApi;
import org.woadvale.client.model.Message;
import org.woadvale.client.model.SubmitRequest;
import org.woadvale.client.model.Taken;

/** A caller that uses the client generated from our schema. */
public final class ClientLoad {
    private final CallersApi api;

    public ClientLoad(String http, String key) {
        ApiClient c = new ApiClient();
        c.updateBaseUri("http://" + http);
        c.setRequestInterceptor(b -> b.header("Authorization", "Bearer " + key));
        c.setReadTimeout(Duration.ofSeconds(8));
        this.api = new CallersApi(c);
    }

    /** The handle of the message taken; a 202 without one is no answer. */
    public String submit(String lane, String id) throws ApiException {
        SubmitRequest in = new SubmitRequest().id(id).body(Map.of("text", "by the generated client"));
        return Optional.ofNullable(api.handIn(lane, in))
                .map(Taken::getHandle)
                .filter(h -> !h.isEmpty())
                .orElseThrow(() -> new ApiException("taken without a handle"));
    }

    public Message show(String handle) throws ApiException {
        return api.show(handle);
    }

    public boolean over(String handle) {
        try {
            Message.StateEnum s = show(handle).getState();
            return s == Message.StateEnum.DONE || s == Message.StateEnum.FAILED;
        } catch (ApiException e) {
            return false;
        }
    }
}
