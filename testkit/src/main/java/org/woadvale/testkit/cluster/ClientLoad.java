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
 * A caller that uses the client generated from the OpenAPI schema and follows docs/api.md: it repeats a refused request
 * after the time in {@code Retry-After}, a submission with the same id.
 */
public final class ClientLoad {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(8);
    /** How long a request is repeated before its last refusal is thrown. */
    private static final Duration RETRY_LIMIT = Duration.ofSeconds(60);

    private static final long MILLIS_PER_SECOND = 1000;

    private final CallersApi api;

    /** A request sent by the generated client. */
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

    /** Submits a message and returns its handle; a 202 without a handle is an error. */
    public String submit(String lane, String id) throws ApiException {
        SubmitRequest request = new SubmitRequest().id(id).body(Map.of("text", "by the generated client"));
        return Optional.ofNullable(withRetries(() -> api.handIn(lane, request)))
                .map(Taken::getHandle)
                .filter(h -> !h.isEmpty())
                .orElseThrow(() -> new ApiException("accepted without a handle"));
    }

    public Message show(String handle) throws ApiException {
        return withRetries(() -> api.show(handle));
    }

    public boolean isTerminal(String handle) {
        try {
            Message.StateEnum state = show(handle).getState();
            return state == Message.StateEnum.DONE || state == Message.StateEnum.FAILED;
        } catch (ApiException e) {
            return false;
        }
    }

    private static <T> T withRetries(ApiRequest<T> request) throws ApiException {
        long start = System.nanoTime();
        while (true) {
            try {
                return request.send();
            } catch (ApiException refusal) {
                Optional<Long> seconds = retryAfterSeconds(refusal);
                if (seconds.isEmpty() || System.nanoTime() - start > RETRY_LIMIT.toNanos()) {
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
