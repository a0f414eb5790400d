package org.woadvale.common.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Counts the requests of one connection that were read and are not completely answered. While the server is closing
 * connections, the response to the last of them carries {@code Connection: close}; a draining connection is closed as
 * soon as no request is outstanding. All of this runs on the connection's event loop, so no request can be read between
 * the check and the close.
 */
final class RequestTracker extends ChannelDuplexHandler {
    /** How long a new connection may take to send its first request while the server stops. */
    static final Duration FIRST_REQUEST_GRACE = Duration.ofMillis(200);

    private enum Event {
        DRAIN
    }

    private final BooleanSupplier closing;
    private final BooleanSupplier stopping;
    private int outstanding;
    private boolean draining;
    private boolean requestReceived;
    private boolean informational;

    /**
     * Creates the handler of one connection.
     *
     * @param closing whether each connection is closed after the next response that leaves no request outstanding
     * @param stopping whether new connections drain as soon as they are open
     */
    RequestTracker(BooleanSupplier closing, BooleanSupplier stopping) {
        this.closing = closing;
        this.stopping = stopping;
    }

    /** Closes the connection as soon as each request that was read has been answered. */
    static void drain(Channel channel) {
        channel.pipeline().fireUserEventTriggered(Event.DRAIN);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.fireChannelActive();
        if (stopping.getAsBoolean()) {
            drain(context);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            outstanding++;
            requestReceived = true;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            announceClose(response);
        }
        if (message instanceof LastHttpContent && !informational) {
            promise.unvoid().addListener(written -> onAnswered(context));
        }
        context.write(message, promise);
    }

    private void announceClose(HttpResponse response) {
        if (!informational && outstanding == 1 && closing.getAsBoolean()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            draining = true;
        }
    }

    private void onAnswered(ChannelHandlerContext context) {
        outstanding--;
        closeIfDrained(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == Event.DRAIN) {
            drain(context);
            return;
        }
        context.fireUserEventTriggered(event);
    }

    /** A connection without any request so far gets a grace period, as its first request may be in transit. */
    private void drain(ChannelHandlerContext context) {
        draining = true;
        if (requestReceived) {
            closeIfDrained(context);
        } else {
            context.executor()
                    .schedule(() -> closeIfDrained(context), FIRST_REQUEST_GRACE.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void closeIfDrained(ChannelHandlerContext context) {
        if (draining && outstanding <= 0) {
            context.close();
        }
    }
}
