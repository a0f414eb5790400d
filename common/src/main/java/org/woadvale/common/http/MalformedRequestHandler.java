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

/**
 * Marks a connection on which an undecodable or ambiguous request has arrived. Without the mark, the application would
 * see a request with an undecodable body as complete, because the server ends its body as if all of it had arrived.
 */
final class MalformedRequestHandler extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Boolean> MALFORMED = AttributeKey.valueOf("woadvale.broken");

    static boolean isMalformed(HttpServerRequest request) {
        AtomicBoolean malformed = new AtomicBoolean();
        request.withConnection(connection -> malformed.set(connection.channel().hasAttr(MALFORMED)));
        return malformed.get();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean decodingFailed = message instanceof DecoderResultProvider decoded
                && decoded.decoderResult().isFailure();
        if (decodingFailed || message instanceof HttpRequest request && isAmbiguous(request)) {
            context.channel().attr(MALFORMED).set(true);
        }
        context.fireChannelRead(message);
    }

    /** Whether HTTP implementations could disagree on the end of the body or on the host (request smuggling). */
    private static boolean isAmbiguous(HttpRequest request) {
        List<String> transferCodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean unambiguousLength = transferCodings.isEmpty()
                || transferCodings.size() == 1
                        && transferCodings.get(0).equalsIgnoreCase("chunked")
                        && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return !unambiguousLength
                || request.headers().getAll(HttpHeaderNames.HOST).size() > 1;
    }
}
