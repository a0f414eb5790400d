package org.woadvale.common.rpc;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.InternalErrorException;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.Timers;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** RPC over TCP with Reactor Netty: one connection to each called peer. */
public final class TcpRpcClient implements RpcClient, Component {
    private static final Logger LOG = LogManager.getLogger(TcpRpcClient.class);
    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final String self;
    private final String listenAddress;
    private final Codec codec;
    private final RpcRouter router;
    private final Timers timers;
    private final Map<String, Mono<RpcConnection>> connections = new ConcurrentHashMap<>();
    private final Map<RpcConnection, Boolean> incoming = new ConcurrentHashMap<>();
    private final AtomicLong framesSent = new AtomicLong();
    private DisposableServer server;

    /** Creates a client that listens on the address by which peers know it. */
    public TcpRpcClient(String self, Codec codec, RpcRouter router, Timers timers) {
        this(self, self, codec, router, timers);
    }

    /** Creates a client that peers know by one address and that listens on another, as behind a relay. */
    public TcpRpcClient(String self, String listenAddress, Codec codec, RpcRouter router, Timers timers) {
        this.self = self;
        this.listenAddress = listenAddress;
        this.codec = codec;
        this.router = router;
        this.timers = timers;
    }

    @Override
    public String name() {
        return "RPC";
    }

    @Override
    public String self() {
        return self;
    }

    /** Frames sent so far. */
    public long framesSent() {
        return framesSent.get();
    }

    @Override
    public void start() throws ServiceException {
        int colon = listenAddress.lastIndexOf(':');
        String ip = listenAddress.substring(0, colon);
        int port = Integer.parseInt(listenAddress.substring(colon + 1));
        try {
            server = TcpServer.create()
                    .host(ip)
                    .port(port)
                    .doOnConnection(this::accept)
                    .bindNow(BIND_TIMEOUT);
        } catch (RuntimeException e) {
            throw new UnavailableException("Cannot listen on " + listenAddress + ": " + e.getMessage());
        }
    }

    private void accept(Connection incomingConnection) {
        RpcConnection connection =
                new RpcConnection(incomingConnection, self, codec, router, timers, framesSent, Optional.empty());
        incoming.put(connection, Boolean.TRUE);
        incomingConnection.onDispose(() -> incoming.remove(connection));
        connection.open();
    }

    @Override
    public <T> Mono<T> call(String to, Object body, Class<T> responseType, Duration timeout) {
        Mono<Object> response = self.equals(to)
                ? callLocally(body, timeout)
                : connections.computeIfAbsent(to, this::connect).flatMap(connection -> connection.call(body, timeout));
        return response.flatMap(object -> responseType.isInstance(object)
                ? Mono.just(responseType.cast(object))
                : Mono.error(new InternalErrorException(
                        "Unexpected answer " + object.getClass().getSimpleName() + ".")));
    }

    private Mono<Object> callLocally(Object body, Duration timeout) {
        return Delays.timeout(
                timers,
                Mono.<Object>from(router.handle(self, body)),
                timeout,
                new OutcomeUnknownException("No answer in time."));
    }

    private Mono<RpcConnection> connect(String to) {
        int colon = to.lastIndexOf(':');
        AtomicReference<Mono<RpcConnection>> opening = new AtomicReference<>();
        opening.set(TcpClient.create()
                .host(to.substring(0, colon))
                .port(Integer.parseInt(to.substring(colon + 1)))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .connect()
                .map(channel -> {
                    RpcConnection connection =
                            new RpcConnection(channel, self, codec, router, timers, framesSent, Optional.of(to));
                    channel.onDispose(() -> {
                        connections.remove(to, opening.get());
                        connection.onClosed();
                    });
                    connection.open();
                    return connection;
                })
                .onErrorMap(e -> new UnreachableException("No stream to " + to + "."))
                .doOnError(e -> timers.after(RECONNECT_DELAY, () -> connections.remove(to, opening.get())))
                .cast(RpcConnection.class)
                .cache());
        return opening.get();
    }

    @Override
    public boolean alive() {
        return server == null || !server.isDisposed();
    }

    @Override
    public void stop() {
        incoming.keySet().forEach(RpcConnection::close);
        connections.values().forEach(opening -> opening.subscribe(RpcConnection::close, e -> {}));
        if (server != null) {
            server.disposeNow(Duration.ofSeconds(2));
        }
    }
}
