package org.woadvale.pilot.launch;

import java.net.ConnectException;
import java.time.Duration;

import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** HTTP/1.1 to back ends by Reactor Netty; it never sends a request twice by itself. */
public final class HttpPost implements Post {
    private static final int MAX_ANSWER = 64 << 10;
    private final HttpClient client = HttpClient.create(ConnectionProvider.builder("launch").maxConnections(64)
            .pendingAcquireMaxCount(256).pendingAcquireTimeout(Duration.ofSeconds(2)).build())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000).disableRetry(true);

    /** Whatever waited for a stream is looked at again once it has one. */
    @Override
    public Mono<Reply> send(Call c) {
        return client.headers(h -> h.set("Content-Type", "application/json")).responseTimeout(c.limit())
            .request(HttpMethod.valueOf(c.method())).uri(c.url())
            .send((q, out) -> c.still().getAsBoolean() ? out.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(c.body())))
                : Mono.error(new Fault(ErrorKind.UNREACHABLE, "It may not be sent any more.")))
            .responseSingle((r, bytes) -> bytes.asByteArray().defaultIfEmpty(new byte[0])
                .filter(b -> b.length <= MAX_ANSWER).defaultIfEmpty(new byte[0])
                .map(b -> new Reply(r.status().code(), b)))
            .timeout(c.limit().plusMillis(200))
            .onErrorMap(HttpPost::fault);
    }

    private static Throwable fault(Throwable e) {
        if (e instanceof Fault) {
            return e;
        }
        boolean never = e instanceof ConnectException || e instanceof ConnectTimeoutException
            || e.getCause() instanceof ConnectException || e.getClass().getSimpleName().startsWith("PoolAcquire");
        return new Fault(never ? ErrorKind.UNREACHABLE : ErrorKind.UNKNOWN_OUTCOME,
            e.getClass().getSimpleName() + ": " + e.getMessage());
    }
}
