package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Overrides of a simulated platform that each disable one mechanism, so that the rule that it serves is violated.
 * (docs/design.md, section 12.3)
 */
final class FaultyPlatformVariants {
    private static final String ATTEMPT_ID = "X-Attempt-Id";
    private static final String SEAL_HEADER = "x-server-seal";

    private FaultyPlatformVariants() {}

    private static FleetOverrides mappedResponses(
            Function<DeliveryClient.DeliveryResponse, DeliveryClient.DeliveryResponse> mapping) {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) ->
                        deliveryRequest -> client.send(deliveryRequest).map(mapping));
    }

    private static DeliveryClient.DeliveryResponse withStatusAndSeal(
            DeliveryClient.DeliveryResponse deliveryResponse, int status, String seal) {
        Map<String, String> headers = new HashMap<>(deliveryResponse.headers());
        headers.remove(SEAL_HEADER);
        if (!seal.isEmpty()) {
            headers.put(SEAL_HEADER, seal);
        }
        return new DeliveryClient.DeliveryResponse(status, headers, deliveryResponse.body());
    }

    /** LOST: the stores' disks report a sync that they have not performed. */
    static FleetOverrides lyingStores() {
        return FleetOverrides.none()
                .withDisk((address, disk) -> address.startsWith("10.0.1.")
                        ? DisabledMechanisms.diskWithoutSync().disk().apply(address, disk)
                        : disk);
    }

    /** TWICE: every fourth success arrives as a 502 without a seal. */
    static FleetOverrides successWithoutSeal() {
        int[] successes = {0};
        return mappedResponses(deliveryResponse -> deliveryResponse.status() == 200 && successes[0]++ % 4 == 0
                ? withStatusAndSeal(deliveryResponse, 502, "")
                : deliveryResponse);
    }

    /** MIXED: a 5xx that does not state that nothing was executed counts as a sealed success. */
    static FleetOverrides errorIsSuccess() {
        return mappedResponses(deliveryResponse ->
                deliveryResponse.status() >= 500 && !deliveryResponse.headers().containsKey("x-not-executed")
                        ? withStatusAndSeal(deliveryResponse, 200, "surely")
                        : deliveryResponse);
    }

    /** ORDER: a missing response counts as a permanent refusal. */
    static FleetOverrides silenceIsRefusal() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> client.send(deliveryRequest)
                        .onErrorResume(e -> ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                ? Mono.just(new DeliveryClient.DeliveryResponse(
                                        422,
                                        Map.of(
                                                "x-attempt-id",
                                                deliveryRequest.headers().getOrDefault(ATTEMPT_ID, "")),
                                        new byte[0]))
                                : Mono.error(e)));
    }

    /** ROUTE: requests lack the header that names the expected instance. */
    static FleetOverrides withoutExpectedInstance() {
        return FleetOverrides.none().withDeliveryClient((address, client) -> deliveryRequest -> {
            Map<String, String> headers = new LinkedHashMap<>(deliveryRequest.headers());
            headers.remove("X-Expect-Instance");
            return client.send(new DeliveryClient.DeliveryRequest(
                    deliveryRequest.method(),
                    deliveryRequest.url(),
                    headers,
                    deliveryRequest.body(),
                    deliveryRequest.timeout(),
                    deliveryRequest.stillPermitted(),
                    deliveryRequest.expectedEcho()));
        });
    }

    /** UNASKED: the first and the last byte of the body are swapped, as by a faulty client. */
    static FleetOverrides bytesChange() {
        return FleetOverrides.none().withDeliveryClient((address, client) -> deliveryRequest -> {
            byte[] body = deliveryRequest.body().clone();
            byte first = body[0];
            body[0] = body[body.length - 1];
            body[body.length - 1] = first;
            return client.send(new DeliveryClient.DeliveryRequest(
                    deliveryRequest.method(),
                    deliveryRequest.url(),
                    deliveryRequest.headers(),
                    body,
                    deliveryRequest.timeout(),
                    deliveryRequest.stillPermitted(),
                    deliveryRequest.expectedEcho()));
        });
    }

    /** CEILING: whether the request may still be sent is checked once, before its stream is open. */
    static FleetOverrides lookFirstSendLater() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> Mono.defer(() -> {
                    boolean permitted = deliveryRequest.stillPermitted().getAsBoolean();
                    return client.send(new DeliveryClient.DeliveryRequest(
                            deliveryRequest.method(),
                            deliveryRequest.url(),
                            deliveryRequest.headers(),
                            deliveryRequest.body(),
                            deliveryRequest.timeout(),
                            () -> permitted,
                            deliveryRequest.expectedEcho()));
                }));
    }

    /** CONFIG, DRAIN: once frozen, the views received last count as confirmed by the core. */
    static FleetOverrides staleViewsConfirmed(BooleanSupplier frozen) {
        return FleetOverrides.none().withRpc((address, rpc) -> {
            Map<String, ServiceView> lastViews = new HashMap<>();
            return new RpcClient() {
                @Override
                public String self() {
                    return rpc.self();
                }

                @Override
                public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                    if (!(body instanceof ControlMessages.ServiceViewRequest request)
                            || frozen.getAsBoolean()
                                    && !lastViews
                                            .keySet()
                                            .containsAll(request.knownVersions().keySet())) {
                        return rpc.call(to, body, answer, limit);
                    }
                    return frozen.getAsBoolean()
                            ? Mono.just(answer.cast(DisabledMechanisms.unexpiringViews(request, lastViews)))
                            : rpc.call(
                                            to,
                                            new ControlMessages.ServiceViewRequest(request.knownVersions(), false),
                                            answer,
                                            limit)
                                    .doOnNext(response -> ((ControlMessages.ServiceViewResponse) response)
                                            .views()
                                            .forEach(view -> lastViews.put(view.service(), view)));
                }
            };
        });
    }

    /** TWICE: any lease of a message, also an earlier one, counts as its present lease. */
    static FleetOverrides anyLeaseAccepted() {
        Map<String, Integer> presentAttempts = new ConcurrentHashMap<>();
        return FleetOverrides.none().withRpc((address, rpc) -> new RpcClient() {
            @Override
            public String self() {
                return rpc.self();
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                if (body instanceof MessageCommands.EndLeaseRequest request) {
                    MessageCommands.End end = request.end();
                    MessageCommands.End underPresentLease = new MessageCommands.End(
                            end.handle(),
                            presentAttempts.getOrDefault(end.handle(), end.attempt()),
                            end.outcome(),
                            end.proof(),
                            end.due(),
                            end.at());
                    return rpc.call(
                            to,
                            new MessageCommands.EndLeaseRequest(request.partition(), underPresentLease),
                            answer,
                            limit);
                }
                return rpc.call(to, body, answer, limit).doOnNext(received -> {
                    if (received instanceof MessageCommands.LongPullResponse response) {
                        response.messages()
                                .forEach(message -> presentAttempts.put(message.handle(), message.attempt()));
                    }
                });
            }
        });
    }
}
