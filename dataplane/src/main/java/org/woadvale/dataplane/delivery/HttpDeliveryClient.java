package org.woadvale.dataplane.delivery;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends requests to back ends over HTTP/1.1 with Reactor Netty; it never repeats a request by itself. */
public final class HttpDeliveryClient implements DeliveryClient {
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_PENDING = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** Extra time beyond the timeout of a request, for a response that is being read. */
    private static final Duration RESPONSE_GRACE = Duration.ofMillis(200);

    private static final int MAX_RESPONSE_BYTES = 64 << 10;
    /** The maximum idle time of a connection, unless the back end announces one in a Keep-Alive header. */
    private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(20);

    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=([0-9]{1,6})");

    private final Map<SocketAddress, Duration> idleLimits = new ConcurrentHashMap<>();
    private final HttpClient client = HttpClient.create(ConnectionProvider.builder("delivery")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(MAX_PENDING)
                    .pendingAcquireTimeout(Duration.ofSeconds(2))
                    .lifo()
                    .evictionPredicate(
                            (connection, meta) -> !connection.channel().isActive()
                                    || meta.idleTime()
                                            > idleLimits
                                                    .getOrDefault(
                                                            connection.channel().remoteAddress(), DEFAULT_IDLE_LIMIT)
                                                    .toMillis())
                    .build())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .disableRetry(true);

    /**
     * The permission to send is checked again once a connection is available. The response is published by a later task
     * of the event loop, after its connection has returned to the pool, so that a caller that sends again at once can
     * use that connection.
     */
    @Override
    public Mono<DeliveryResponse> send(DeliveryRequest deliveryRequest) {
        return client.headers(headers -> deliveryRequest.headers().forEach(headers::set))
                .responseTimeout(deliveryRequest.timeout())
                .request(HttpMethod.valueOf(deliveryRequest.method()))
                .uri(deliveryRequest.url())
                .send((httpRequest, out) -> deliveryRequest.stillPermitted().getAsBoolean()
                        ? out.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(deliveryRequest.body())))
                        : Mono.error(new UnreachableException("It may not be sent any more.")))
                .responseConnection((response, connection) -> connection
                        .inbound()
                        .receive()
                        .aggregate()
                        .asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .filter(bytes -> bytes.length <= MAX_RESPONSE_BYTES)
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> toResponse(deliveryRequest, response, connection, bytes))
                        .publishOn(Schedulers.fromExecutor(connection.channel().eventLoop())))
                .next()
                .timeout(deliveryRequest.timeout().plus(RESPONSE_GRACE))
                .onErrorMap(HttpDeliveryClient::toServiceException);
    }

    /**
     * A response that does not name our request, and only that one, shows that responses on the connection are out of
     * step with requests: the connection is closed. This includes interim responses.
     */
    private DeliveryResponse toResponse(
            DeliveryRequest deliveryRequest, HttpClientResponse response, Connection connection, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        response.responseHeaders()
                .forEach(entry -> headers.put(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
        boolean ours = deliveryRequest.expectedEcho().entrySet().stream()
                .allMatch(entry ->
                        response.responseHeaders().getAll(entry.getKey()).equals(List.of(entry.getValue())));
        if (!ours) {
            connection.channel().close();
            throw Exceptions.propagate(new OutcomeUnknownException("The answer is to another request."));
        }
        Matcher matcher = KEEP_ALIVE.matcher(headers.getOrDefault("keep-alive", ""));
        if (matcher.find()) {
            // a margin, so that a connection is not used while the other side closes it
            Duration idleLimit = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
            Duration halfLimit = idleLimit.dividedBy(2);
            Duration limitLessOneSecond = idleLimit.minusSeconds(1);
            idleLimits.put(
                    connection.channel().remoteAddress(),
                    halfLimit.compareTo(limitLessOneSecond) > 0 ? halfLimit : limitLessOneSecond);
        }
        return new DeliveryResponse(response.status().code(), headers, body);
    }

    private static Throwable toServiceException(Throwable thrown) {
        Throwable e = Exceptions.unwrap(thrown);
        if (e instanceof ServiceException) {
            return e;
        }
        boolean nothingSent = e instanceof ConnectException
                || e instanceof ConnectTimeoutException
                || e.getCause() instanceof ConnectException
                || e.getClass().getSimpleName().startsWith("PoolAcquire");
        return ServiceException.of(
                nothingSent ? ErrorKind.UNREACHABLE : ErrorKind.UNKNOWN_OUTCOME,
                e.getClass().getSimpleName() + ": " + e.getMessage(),
                List.of());
    }
}
