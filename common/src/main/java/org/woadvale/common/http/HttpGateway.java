package org.woadvale.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.InternalErrorException;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.RequestTooLargeException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.runtime.Component;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** An HTTP/1.1 server on Reactor Netty that passes each request to one handler function. */
public final class HttpGateway implements Component {
    private static final Logger LOG = LogManager.getLogger(HttpGateway.class);
    private static final int MAX_HEADER_BYTES = 16 << 10;
    /** A kept-alive connection is closed after this time without a request. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);
    /** How long {@link #stop} waits for requests that were already read to be answered. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final String address;
    private final int maxBodyBytes;
    private final Function<Request, Mono<Response>> handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean closing;
    private volatile boolean stopping;
    private DisposableServer server;

    /** Creates a server, not yet started, that rejects request bodies of more than {@code maxBodyBytes} bytes. */
    public HttpGateway(String address, int maxBodyBytes, Function<Request, Mono<Response>> handler) {
        this.address = address;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
    }

    @Override
    public String name() {
        return "HTTP gateway";
    }

    @Override
    public void start() throws ServiceException {
        int colon = address.lastIndexOf(':');
        try {
            server = HttpServer.create()
                    .host(address.substring(0, colon))
                    .port(Integer.parseInt(address.substring(colon + 1)))
                    .httpRequestDecoder(
                            spec -> spec.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_HEADER_BYTES))
                    .idleTimeout(IDLE_TIMEOUT)
                    .channelGroup(connections)
                    .doOnChannelInit((observer, channel, remoteAddress) -> channel.pipeline()
                            .addAfter(NettyPipeline.HttpCodec, "broken", new MalformedRequestHandler())
                            .addAfter(
                                    NettyPipeline.HttpCodec,
                                    "requests",
                                    new RequestTracker(() -> closing, () -> stopping)))
                    .handle(this::serve)
                    .bindNow(BIND_TIMEOUT);
        } catch (RuntimeException e) {
            throw new UnavailableException("Cannot listen for HTTP on " + address + ": " + e.getMessage());
        }
    }

    private Mono<Void> serve(HttpServerRequest in, HttpServerResponse out) {
        return body(in).flatMap(buffer -> handler.apply(new Request(in.method().name(), in.uri(), headers(in), buffer)))
                .switchIfEmpty(Mono.error(new InternalErrorException("No answer was made.")))
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    LOG.log(
                            failure.kind().level(),
                            "{} {} ended as {}: {}",
                            in.method(),
                            in.uri(),
                            failure.kind().wireName(),
                            failure.getMessage());
                    return Mono.just(Response.of(failure));
                })
                .flatMap(response -> {
                    out.status(response.status());
                    response.headers().forEach(out::header);
                    out.header("Content-Length", Integer.toString(response.body().length));
                    if (MalformedRequestHandler.isMalformed(in)) {
                        out.header("Connection", "close");
                    }
                    return out.send(Mono.just(Unpooled.wrappedBuffer(response.body())))
                            .then();
                });
    }

    private Mono<byte[]> body(HttpServerRequest in) {
        long declared = in.requestHeaders().getInt("content-length", 0);
        if (declared > maxBodyBytes) {
            return Mono.error(tooLarge());
        }
        return in.receive()
                .map(HttpGateway::bytes)
                .reduceWith(() -> new byte[0], (received, buffer) -> {
                    if (received.length + buffer.length > maxBodyBytes) {
                        throw Exceptions.propagate(tooLarge());
                    }
                    byte[] all = Arrays.copyOf(received, received.length + buffer.length);
                    System.arraycopy(buffer, 0, all, received.length, buffer.length);
                    return all;
                })
                .onErrorMap(Exceptions::unwrap)
                .flatMap(buffer -> MalformedRequestHandler.isMalformed(in)
                        ? Mono.error(new InvalidRequestException("The request cannot be read whole."))
                        : Mono.just(buffer));
    }

    private ServiceException tooLarge() {
        return new RequestTooLargeException("The body is over " + maxBodyBytes + " bytes.");
    }

    private static byte[] bytes(ByteBuf buffer) {
        byte[] out = new byte[buffer.readableBytes()];
        buffer.readBytes(out);
        return out;
    }

    private static Map<String, String> headers(HttpServerRequest in) {
        Map<String, String> out = new HashMap<>();
        in.requestHeaders().forEach(entry -> out.put(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
        return out;
    }

    /**
     * From now on, each connection is closed after the next response behind which no pipelined request waits, so that
     * callers move to other nodes (docs/design.md, section 10.2).
     */
    public void closeAfterNextResponse() {
        closing = true;
    }

    @Override
    public boolean alive() {
        return server == null || !server.isDisposed();
    }

    /**
     * Stops accepting connections and waits, for a bounded time, until each request that was already read is answered.
     * Each connection checks on its own event loop whether it has such a request; a check from this thread could close
     * a connection while a request is being read from it.
     */
    @Override
    public void stop() {
        closing = true;
        stopping = true;
        if (server == null) {
            return;
        }
        long deadline = System.nanoTime() + STOP_TIMEOUT.toNanos();
        server.channel().close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
        // repeated while any are open: a connection that was just accepted is added to the group slightly later
        while (!connections.isEmpty() && System.nanoTime() < deadline) {
            connections.forEach(RequestTracker::drain);
            connections.newCloseFuture().awaitUninterruptibly(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
        if (!connections.isEmpty()) {
            LOG.warn("{} connections still have requests without an answer; they are closed.", connections.size());
            connections.close();
        }
        server.dispose();
    }
}
