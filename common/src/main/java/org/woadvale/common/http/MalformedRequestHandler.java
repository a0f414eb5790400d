package org.woadvale.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.netty.http.server.HttpServerRequest;

/** Notes on a stream that what came cannot be decoded: the server then ends the body as if it were complete. */
final class MalformedRequestHandler extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Boolean> KEY = AttributeKey.valueOf("woadvale.broken");

    static boolean isMalformed(HttpServerRequest in) {
        AtomicBoolean out = new AtomicBoolean();
        in.withConnection(connection -> out.set(connection.channel().hasAttr(KEY)));
        return out.get();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean undecoded = message instanceof DecoderResultProvider decoded
                && decoded.decoderResult().isFailure();
        if (undecoded || message instanceof HttpRequest request && ambiguous(request)) {
            context.channel().attr(KEY).set(true);
        }
        context.fireChannelRead(message);
    }

    /** Where one reader may see another end of the body, or another host, than the next one does. */
    private static boolean ambiguous(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plain = codings.isEmpty()
                || codings.size() == 1
                        && codings.get(0).equalsIgnoreCase("chunked")
                        && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return !plain || request.headers().getAll(HttpHeaderNames.HOST).size() > 1;
    }
}
