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
 * One TCP connection: a handshake, then frames. Anything else closes it with a warning in the log (docs/design.md,
 * section 3.3).
 */
final class RpcConnection {
    private static final Logger LOG = LogManager.getLogger(RpcConnection.class);
    private static final String NODE_NAME_PATTERN = "[!-~]{1,64}";
    private static final int LENGTH_BYTES = Integer.BYTES;
    /** Magic number and two versions; the node name of the sender follows. */
    private static final int MIN_HANDSHAKE_BYTES = Integer.BYTES + 2 * Short.BYTES;

    private static final int MAGIC = 0x574F4144;
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

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
    private final SilenceDetector silenceDetector;
    private final Sinks.One<Boolean> handshake = Sinks.one();
    private volatile State state = State.HANDSHAKE;
    private volatile String peer = "?";

    /**
     * Creates a connection, which does nothing before it is opened.
     *
     * @param expectedPeer on the calling side, the name of the node to call; a peer that identifies itself by
     *     another name receives no request
     */
    RpcConnection(
            Connection connection,
            String self,
            Codec codec,
            RpcRouter router,
            Timers timers,
            AtomicLong framesSent,
            Optional<String> expectedPeer) {
        this.connection = connection;
        this.self = self;
        this.codec = codec;
        this.router = router;
        this.timers = timers;
        this.framesSent = framesSent;
        this.expectedPeer = expectedPeer;
        this.pendingCalls = new PendingCalls(timers);
        this.silenceDetector = new SilenceDetector(
                timers, connection.channel().eventLoop(), () -> closeWithWarning("its peer is silent"));
    }

    void open() {
        connection.addHandlerLast("silence", new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                silenceDetector.onReceived();
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
                closeWithWarning(e instanceof IOException ? "it was lost: " + e.getMessage() : "invalid frame: " + e);
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
        timers.after(HANDSHAKE_TIMEOUT, () -> {
            if (state == State.HANDSHAKE) {
                closeWithWarning("the handshake timed out");
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
                closeWithWarning(failure.getMessage());
            }
        }
    }

    private void onHandshake(ByteBuf in) {
        if (in.readableBytes() < MIN_HANDSHAKE_BYTES || in.readInt() != MAGIC) {
            closeWithWarning("not a handshake of this protocol");
            return;
        }
        int oldest = in.readShort();
        int newest = in.readShort();
        if (oldest > Codec.NEWEST_VERSION || newest < Codec.OLDEST_VERSION) {
            closeWithWarning("versions " + oldest + ".." + newest + " do not meet ours " + Codec.OLDEST_VERSION + ".."
                    + Codec.NEWEST_VERSION);
            return;
        }
        String name = in.toString(StandardCharsets.UTF_8);
        if (!name.matches(NODE_NAME_PATTERN)) {
            closeWithWarning("invalid node name in the handshake");
            return;
        }
        if (expectedPeer.filter(expected -> !expected.equals(name)).isPresent()) {
            closeWithWarning("the peer identifies itself as " + name + ", expected " + expectedPeer.get());
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

    Mono<Object> call(Object body, Duration timeout) {
        ServiceException notSent = new UnreachableException("The handshake took too long.");
        return Delays.timeout(timers, handshake.asMono(), timeout, notSent)
                .then(Mono.defer(() -> callAfterHandshake(body, timeout)));
    }

    private Mono<Object> callAfterHandshake(Object body, Duration timeout) {
        long receiveCountAtSending = silenceDetector.receiveCount();
        return pendingCalls
                .call(body, timeout, this::send)
                .doOnError(
                        OutcomeUnknownException.class,
                        e -> silenceDetector.onUnanswered(receiveCountAtSending, timeout));
    }

    /** A response is dropped if its connection has closed: no caller waits for it any longer. */
    private void respond(Frame frame) {
        if (connection.channel().isActive()) {
            send(frame);
        }
    }

    private void send(Frame frame) {
        framesSent.incrementAndGet();
        connection.channel().writeAndFlush(Unpooled.wrappedBuffer(codec.write(frame)));
    }

    private void closeWithWarning(String reason) {
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
