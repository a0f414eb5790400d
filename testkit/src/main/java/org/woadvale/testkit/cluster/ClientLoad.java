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

/**
 * A caller that uses the client generated from our schema and keeps to docs/api.md: where a refusal carries {@code
 * Retry-After}, it asks again with the same id after that time.
 */
public final class ClientLoad {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(8);
    /** How long a request is repeated before its last refusal is handed to the caller. */
    private static final Duration RETRY_LIMIT = Duration.ofSeconds(60);

    private static final long MILLIS_PER_SECOND = 1000;

    private final CallersApi api;

    /** A request by the generated client. */
    private interface ApiRequest<T> {
        T send() throws ApiException;
    }

    public ClientLoad(String http, String key) {
        ApiClient apiClient = new ApiClient();
        apiClient.updateBaseUri("http://" + http);
        apiClient.setRequestInterceptor(builder -> builder.header("Authorization", "Bearer " + key));
        apiClient.setReadTimeout(READ_TIMEOUT);
        this.api = new CallersApi(apiClient);
    }

    /** The handle of the message taken; a 202 without one is no answer. */
    public String submit(String lane, String id) throws ApiException {
        SubmitRequest request = new SubmitRequest().id(id).body(Map.of("text", "by the generated client"));
        return Optional.ofNullable(withRetries(() -> api.handIn(lane, request)))
                .map(Taken::getHandle)
                .filter(h -> !h.isEmpty())
                .orElseThrow(() -> new ApiException("taken without a handle"));
    }

    public Message show(String handle) throws ApiException {
        return withRetries(() -> api.show(handle));
    }

    public boolean over(String handle) {
        try {
            Message.StateEnum stateEnum = show(handle).getState();
            return stateEnum == Message.StateEnum.DONE || stateEnum == Message.StateEnum.FAILED;
        } catch (ApiException e) {
            return false;
        }
    }

    private static <T> T withRetries(ApiRequest<T> request) throws ApiException {
        long begun = System.nanoTime();
        while (true) {
            try {
                return request.send();
            } catch (ApiException refusal) {
                Optional<Long> seconds = retryAfterSeconds(refusal);
                if (seconds.isEmpty() || System.nanoTime() - begun > RETRY_LIMIT.toNanos()) {
                    throw refusal;
                }
                StubEnvironment.sleep(seconds.get() * MILLIS_PER_SECOND);
            }
        }
    }

    private static Optional<Long> retryAfterSeconds(ApiException refusal) {
        return Optional.ofNullable(refusal.getResponseHeaders())
                .flatMap(headers -> headers.firstValue("Retry-After"))
                .map(Long::valueOf);
    }
}
