package org.woadvale.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.util.AttributeKey;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.netty.http.server.HttpServerRequest;

/** Notes on a stream that what came cannot be decoded: the server then ends the body as if it were whole. */
final class MalformedRequest extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Boolean> KEY = AttributeKey.valueOf("woadvale.broken");

    static boolean is(HttpServerRequest in) {
        AtomicBoolean out = new AtomicBoolean();
        in.withConnection(c -> out.set(c.channel().hasAttr(KEY)));
        return out.get();
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
        if (message instanceof DecoderResultProvider p && p.decoderResult().isFailure()) {
            c.channel().attr(KEY).set(true);
        }
        c.fireChannelRead(message);
    }
}
