package org.woadvale.testkit.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.wal.Disk;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Fleet overrides that disable one mechanism each. Each numbered rule of the never list has a scenario that violates it
 * with one of them (docs/design.md, section 12.3); the numbers below are those of the rules.
 */
final class DisabledMechanisms {
    private interface CallInterceptor {
        <T> Mono<T> call(RpcClient rpc, String to, Object body, Class<T> answer, Duration limit);
    }

    private DisabledMechanisms() {}

    private static RpcClient intercept(RpcClient rpc, CallInterceptor interceptor) {
        return new RpcClient() {
            @Override
            public String self() {
                return rpc.self();
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                return interceptor.call(rpc, to, body, answer, limit);
            }
        };
    }

    /** 01: a disk that reports a sync as complete without performing it. */
    static FleetOverrides diskWithoutSync() {
        return FleetOverrides.none().withDisk((address, disk) -> new Disk() {
            @Override
            public List<String> list() throws IOException {
                return disk.list();
            }

            @Override
            public DiskFile open(String name, int size) throws IOException {
                DiskFile file = disk.open(name, size);
                return new DiskFile() {
                    @Override
                    public int size() throws IOException {
                        return file.size();
                    }

                    @Override
                    public void write(long pos, byte[] bytes, int length) throws IOException {
                        file.write(pos, bytes, length);
                    }

                    @Override
                    public void read(long pos, byte[] into, int length) throws IOException {
                        file.read(pos, into, length);
                    }

                    @Override
                    public void sync() {}
                };
            }

            @Override
            public void setAside() throws IOException {
                disk.setAside();
            }
        });
    }

    /** 02: any 5xx is treated as a 503, which asks for a retry. */
    static FleetOverrides serverErrorsAreRetried() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> client.send(deliveryRequest)
                        .map(deliveryResponse -> deliveryResponse.status() >= 500
                                ? new DeliveryClient.DeliveryResponse(503, deliveryResponse.body())
                                : deliveryResponse));
    }

    /** 03: a submission whose answer did not arrive in time is treated as not sent. */
    static FleetOverrides submissionTimeoutIsNotSent() {
        return FleetOverrides.none()
                .withRpc((address, rpcClient) -> intercept(rpcClient, new CallInterceptor() {
                    @Override
                    public <T> Mono<T> call(RpcClient rpc, String to, Object body, Class<T> answer, Duration limit) {
                        return rpc.call(to, body, answer, limit)
                                .onErrorMap(e -> body instanceof MessageCommands.AcceptRequest
                                                && ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                        ? new UnreachableException("no answer")
                                        : e);
                    }
                }));
    }

    /** 04: a processor that does not answer in time is treated as if it had rejected the message. */
    static FleetOverrides deliveryTimeoutIsRejection() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> client.send(deliveryRequest)
                        .onErrorResume(e -> ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                ? Mono.just(new DeliveryClient.DeliveryResponse(422, new byte[0]))
                                : Mono.error(e)));
    }

    /** 05: submissions have no effective deadline, and the clock and incarnation of a store are read only once. */
    static FleetOverrides submissionsWithoutDeadline() {
        return FleetOverrides.none().withRpc((address, rpcClient) -> {
            Map<String, Object> clocks = new HashMap<>();
            return intercept(rpcClient, new CallInterceptor() {
                @Override
                public <T> Mono<T> call(RpcClient rpc, String to, Object body, Class<T> answer, Duration limit) {
                    if (body instanceof MessageCommands.ClockRequest) {
                        return clocks.containsKey(to)
                                ? Mono.just(answer.cast(clocks.get(to)))
                                : rpc.call(to, body, answer, limit).doOnNext(t -> clocks.put(to, t));
                    }
                    return rpc.call(
                            to,
                            body instanceof MessageCommands.AcceptRequest request
                                    ? new MessageCommands.AcceptRequest(
                                            request.partition(),
                                            request.accept(),
                                            new MessageCommands.RemoteDeadline(
                                                    request.deadline().incarnation(), Duration.ofDays(1)))
                                    : body,
                            answer,
                            limit);
                }
            });
        });
    }

    /** 06: the permission to send is checked before the connection opens, and not again when it is open. */
    static FleetOverrides permissionCheckedBeforeConnecting() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> Mono.defer(() -> {
                    boolean permitted = deliveryRequest.stillPermitted().getAsBoolean();
                    return client.send(new DeliveryClient.DeliveryRequest(
                            deliveryRequest.method(),
                            deliveryRequest.url(),
                            deliveryRequest.body(),
                            deliveryRequest.timeout(),
                            () -> permitted));
                }));
    }

    /** 07, 08, 10: if a control node cannot be reached, its last service views are treated as current. */
    static FleetOverrides cachedViewsNeverExpire() {
        return FleetOverrides.none().withRpc((address, rpcClient) -> {
            Map<String, ServiceView> lastViews = new HashMap<>();
            return intercept(rpcClient, new CallInterceptor() {
                @Override
                public <T> Mono<T> call(RpcClient rpc, String to, Object body, Class<T> answer, Duration limit) {
                    if (!(body instanceof ControlMessages.ServiceViewRequest request)) {
                        return rpc.call(to, body, answer, limit);
                    }
                    return rpc.call(
                                    to,
                                    new ControlMessages.ServiceViewRequest(request.knownVersions(), false),
                                    answer,
                                    limit)
                            .doOnNext(t -> ((ControlMessages.ServiceViewResponse) t)
                                    .views()
                                    .forEach(view -> lastViews.put(view.service(), view)))
                            .onErrorResume(e -> noResponse(e)
                                            && lastViews
                                                    .keySet()
                                                    .containsAll(request.knownVersions()
                                                            .keySet())
                                    ? Mono.just(answer.cast(unexpiringViews(request, lastViews)))
                                    : Mono.error(e));
                }
            });
        });
    }

    private static boolean noResponse(Throwable e) {
        return ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                || ServiceException.of(e).kind() == ErrorKind.UNREACHABLE;
    }

    static ControlMessages.ServiceViewResponse unexpiringViews(
            ControlMessages.ServiceViewRequest request, Map<String, ServiceView> lastViews) {
        Map<String, Duration> ages = new HashMap<>();
        List<ServiceView> views = new ArrayList<>();
        request.knownVersions()
                .forEach((service, version) -> Optional.ofNullable(lastViews.get(service))
                        .ifPresent(view -> {
                            ages.put(service, Duration.ZERO);
                            if (view.version() != version) {
                                views.add(view);
                            }
                        }));
        return new ControlMessages.ServiceViewResponse(views, ages, 0);
    }

    /** 09: the monotonic clock of a machine stops while the predicate holds, as if the machine were suspended. */
    static FleetOverrides stoppedClock(Predicate<String> stopped) {
        return FleetOverrides.none().withClock((address, clock) -> new Clock() {
            private Duration last = Duration.ZERO;

            @Override
            public Duration monotonicTime() {
                last = stopped.test(address) && !last.isZero() ? last : clock.monotonicTime();
                return last;
            }

            @Override
            public Instant wallTime() {
                return clock.wallTime();
            }
        });
    }

    /** 11: a 200 without a receipt counts as success: the echo and the receipt are forged. */
    static FleetOverrides successNeedsNoReceipt() {
        return FleetOverrides.none()
                .withDeliveryClient((address, client) -> deliveryRequest -> client.send(deliveryRequest)
                        .map(deliveryResponse -> deliveryResponse.status() == 200
                                ? withForgedReceipt(deliveryRequest, deliveryResponse)
                                : deliveryResponse));
    }

    private static DeliveryClient.DeliveryResponse withForgedReceipt(
            DeliveryClient.DeliveryRequest deliveryRequest, DeliveryClient.DeliveryResponse deliveryResponse) {
        try {
            JsonNode node = Configurations.read(deliveryRequest.body(), JsonNode.class, ErrorKind.BAD_REQUEST);
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("messageId", node.path("messageId").asText());
            body.put("attempt", node.path("attempt").asInt());
            body.put("receipt", "surely");
            return deliveryResponse.body().length > 2
                    ? deliveryResponse
                    : new DeliveryClient.DeliveryResponse(200, Configurations.write(body));
        } catch (ServiceException failure) {
            return deliveryResponse;
        }
    }

    /** 12: leases are ten times as long, so that none expires by mistake. */
    static FleetOverrides longLeases() {
        Function<Duration, Duration> longer = d -> d.multipliedBy(10);
        return FleetOverrides.none()
                .withTiming(timing -> new ReplicationTiming(
                        longer.apply(timing.lease()),
                        timing.heartbeat(),
                        timing.tick(),
                        timing.requestTimeout(),
                        timing.electionJitter()));
    }
}
