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

/** HTTP/1.1 by Reactor Netty in front of one function from request to answer. */
public final class HttpGateway implements Component {
    private static final Logger LOG = LogManager.getLogger(HttpGateway.class);
    private static final int MAX_HEADER = 16 << 10;
    /** After this time without a request a kept-alive connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);
    /** How long a stop waits for the answers to requests that were read. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final String address;
    private final int maxBody;
    private final Function<Request, Mono<Response>> app;
    private final ChannelGroup streams = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean closing;
    private volatile boolean stopping;
    private DisposableServer server;

    /** A server that is not started yet, for requests with bodies of so many bytes at the most. */
    public HttpGateway(String address, int maxBody, Function<Request, Mono<Response>> app) {
        this.address = address;
        this.maxBody = maxBody;
        this.app = app;
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
                    .httpRequestDecoder(s -> s.maxHeaderSize(MAX_HEADER).maxInitialLineLength(MAX_HEADER))
                    .idleTimeout(IDLE_TIMEOUT)
                    .channelGroup(streams)
                    .doOnChannelInit((o, c, a) -> c.pipeline()
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
        return body(in).flatMap(buffer -> app.apply(new Request(in.method().name(), in.uri(), headers(in), buffer)))
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
        if (declared > maxBody) {
            return Mono.error(tooLarge());
        }
        return in.receive()
                .map(HttpGateway::bytes)
                .reduceWith(() -> new byte[0], (a, buffer) -> {
                    if (a.length + buffer.length > maxBody) {
                        throw Exceptions.propagate(tooLarge());
                    }
                    byte[] all = Arrays.copyOf(a, a.length + buffer.length);
                    System.arraycopy(buffer, 0, all, a.length, buffer.length);
                    return all;
                })
                .onErrorMap(Exceptions::unwrap)
                .flatMap(buffer -> MalformedRequestHandler.isMalformed(in)
                        ? Mono.error(new InvalidRequestException("The request cannot be read whole."))
                        : Mono.just(buffer));
    }

    private ServiceException tooLarge() {
        return new RequestTooLargeException("The body is over " + maxBody + " bytes.");
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

    /** From now on every answer is the last of its stream: callers go elsewhere. (docs/design.md, section 10.2) */
    public void closeAfterNextResponse() {
        closing = true;
    }

    @Override
    public boolean alive() {
        return server == null || !server.isDisposed();
    }

    /**
     * New connections are not taken any more; each request that was read gets its answer first, for a bounded time.
     * Whether a connection has such a request is looked at on its own event loop: looked at from here, a request that
     * is being read meanwhile would lose its connection.
     */
    @Override
    public void stop() {
        closing = true;
        stopping = true;
        if (server == null) {
            return;
        }
        long until = System.nanoTime() + STOP_TIMEOUT.toNanos();
        server.channel().close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
        // again while there are any: a connection that was just accepted joins the others a moment later
        while (!streams.isEmpty() && System.nanoTime() < until) {
            streams.forEach(RequestTracker::drain);
            streams.newCloseFuture().awaitUninterruptibly(until - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
        if (!streams.isEmpty()) {
            LOG.warn("{} connections still have requests without an answer; they are closed.", streams.size());
            streams.close();
        }
        server.dispose();
    }
}
