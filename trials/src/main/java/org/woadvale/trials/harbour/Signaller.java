package org.woadvale.trials.harbour;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.woadvale.signal.ApiClient;
import org.woadvale.signal.ApiException;
import org.woadvale.signal.api.CallersApi;
import org.woadvale.signal.model.HandIn;
import org.woadvale.signal.model.Message;
import org.woadvale.signal.model.Taken;

/** A caller that uses the client generated from our schema. */
public final class Signaller {
    private final CallersApi api;

    public Signaller(String http, String key) {
        ApiClient c = new ApiClient();
        c.updateBaseUri("http://" + http);
        c.setRequestInterceptor(b -> b.header("Authorization", "Bearer " + key));
        c.setReadTimeout(Duration.ofSeconds(8));
        this.api = new CallersApi(c);
    }

    /** The handle of the message taken; a 202 without one is no answer. */
    public String handIn(String lane, String id) throws ApiException {
        HandIn in = new HandIn().id(id).body(Map.of("text", "by the generated client"));
        return Optional.ofNullable(api.handIn(lane, in)).map(Taken::getHandle).filter(h -> !h.isEmpty())
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
