package org.woadvale.common.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.Timers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/**
 * One TCP stream: handshake first, frames after; anything else closes it with a log line. (docs/design.md, section 3.3)
 */
final class RpcConnection {
    private static final Logger LOG = LogManager.getLogger(RpcConnection.class);
    private static final String NAME = "[!-~]{1,64}";
    private static final int LENGTH_BYTES = Integer.BYTES;
    /** The magic number and two versions; the name of the peer follows. */
    private static final int HANDSHAKE_BYTES = Integer.BYTES + 2 * Short.BYTES;

    private static final int MAGIC = 0x574F4144;
    private static final Duration HANDSHAKE = Duration.ofSeconds(2);

    private enum State {
        HANDSHAKE,
        OPEN,
        CLOSED
    }

    private final Connection connection;
    private final String self;
    private final Codec codec;
    private final RpcRouter router;
    private final Timers timers;
    private final AtomicLong framesSent;
    private final Optional<String> expectedPeer;
    private final PendingCalls pendingCalls;
    private final SilenceDetector silence;
    private final Sinks.One<Boolean> handshake = Sinks.one();
    private volatile State state = State.HANDSHAKE;
    private volatile String peer = "?";

    /** The name that was called, on the calling side: whoever answers under another one is not asked anything. */
    RpcConnection(
            Connection connection,
            String self,
            Codec codec,
            RpcRouter router,
            Timers timers,
            AtomicLong framesSent,
            Optional<String> called) {
        this.connection = connection;
        this.self = self;
        this.codec = codec;
        this.router = router;
        this.timers = timers;
        this.framesSent = framesSent;
        this.expectedPeer = called;
        this.pendingCalls = new PendingCalls(timers);
        this.silence =
                new SilenceDetector(timers, connection.channel().eventLoop(), () -> refuse("its peer is silent"));
    }

    void open() {
        connection.addHandlerLast("silence", new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                silence.onReceived();
                ctx.fireChannelRead(bytes);
            }
        });
        connection.addHandlerLast(
                "length", new LengthFieldBasedFrameDecoder(Codec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        connection.addHandlerLast("prepend", new LengthFieldPrepender(LENGTH_BYTES));
        connection.addHandlerLast("frames", new SimpleChannelInboundHandler<ByteBuf>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
                byte[] bytes = new byte[in.readableBytes()];
                in.readBytes(bytes);
                onBytes(bytes);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
                refuse(e instanceof IOException ? "it was lost: " + e.getMessage() : "bad frame: " + e);
            }
        });
        connection.channel().config().setAutoRead(true);
        byte[] name = self.getBytes(StandardCharsets.UTF_8);
        ByteBuf hello = Unpooled.buffer();
        hello.writeInt(MAGIC)
                .writeShort(Codec.OLDEST_VERSION)
                .writeShort(Codec.NEWEST_VERSION)
                .writeBytes(name);
        connection.channel().writeAndFlush(hello);
        timers.after(HANDSHAKE, () -> {
            if (state == State.HANDSHAKE) {
                refuse("no handshake in time");
            }
        });
    }

    private void onBytes(byte[] bytes) {
        if (state == State.HANDSHAKE) {
            onHandshake(Unpooled.wrappedBuffer(bytes));
        } else if (state == State.OPEN) {
            try {
                onFrame(codec.read(bytes, Frame.class));
            } catch (ServiceException failure) {
                refuse(failure.getMessage());
            }
        }
    }

    private void onHandshake(ByteBuf in) {
        if (in.readableBytes() < HANDSHAKE_BYTES || in.readInt() != MAGIC) {
            refuse("foreign handshake");
            return;
        }
        int oldest = in.readShort();
        int newest = in.readShort();
        if (oldest > Codec.NEWEST_VERSION || newest < Codec.OLDEST_VERSION) {
            refuse("versions " + oldest + ".." + newest + " do not meet ours " + Codec.OLDEST_VERSION + ".."
                    + Codec.NEWEST_VERSION);
            return;
        }
        String name = in.toString(StandardCharsets.UTF_8);
        if (!name.matches(NAME)) {
            refuse("foreign name");
            return;
        }
        if (expectedPeer.filter(c -> !c.equals(name)).isPresent()) {
            refuse("it is " + name + " that answers at " + expectedPeer.get());
            return;
        }
        peer = name;
        state = State.OPEN;
        handshake.tryEmitValue(Boolean.TRUE);
    }

    private void onFrame(Frame frame) {
        if (frame.kind() == Frame.Kind.REQUEST) {
            timers.execute(() -> PendingCalls.serve(router, peer, frame).subscribe(this::respond));
        } else {
            pendingCalls.onResponse(frame, timers::execute);
        }
    }

    Mono<Object> call(Object body, Duration limit) {
        ServiceException notSent = new UnreachableException("The handshake took too long.");
        return Delays.timeout(timers, handshake.asMono(), limit, notSent)
                .then(Mono.defer(() -> callOpened(body, limit)));
    }

    private Mono<Object> callOpened(Object body, Duration limit) {
        long receptionsAtSending = silence.receiveCount();
        return pendingCalls
                .call(body, limit, this::send)
                .doOnError(OutcomeUnknownException.class, e -> silence.onUnanswered(receptionsAtSending, limit));
    }

    /** A response whose connection has gone is dropped: nobody waits for it there. */
    private void respond(Frame frame) {
        if (connection.channel().isActive()) {
            send(frame);
        }
    }

    private void send(Frame frame) {
        framesSent.incrementAndGet();
        connection.channel().writeAndFlush(Unpooled.wrappedBuffer(codec.write(frame)));
    }

    private void refuse(String reason) {
        if (state != State.CLOSED) {
            LOG.warn("Closed the connection from {}: {}.", connection.channel().remoteAddress(), reason);
            close();
        }
    }

    void close() {
        state = State.CLOSED;
        onClosed();
        connection.dispose();
    }

    void onClosed() {
        state = State.CLOSED;
        handshake.tryEmitError(new UnreachableException("The stream closed before the handshake."));
        pendingCalls.onConnectionLost();
    }
}
