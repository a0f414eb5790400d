package org.woadvale.common.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Holds back a pipelined request until the one before it has its whole answer. The server behind it queues them too,
 * but takes over from each as it comes whether the connection is to be kept: a last request with "close" then ended
 * the connection with the answer to the first, and those between were never answered.
 */
final class PipelinedRequests extends ChannelDuplexHandler {
    private final Queue<Object> waiting = new ArrayDeque<>();
    private boolean answering;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (waiting.isEmpty() && !hasToWait(message)) {
            pass(context, message);
        } else {
            waiting.add(message);
        }
    }

    private boolean hasToWait(Object message) {
        return answering && message instanceof HttpRequest;
    }

    private void pass(ChannelHandlerContext context, Object message) {
        answering |= message instanceof HttpRequest;
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean interim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        context.write(message, promise);
        if (message instanceof LastHttpContent && !interim) {
            answering = false;
            context.executor().execute(() -> passNext(context));
        }
    }

    private void passNext(ChannelHandlerContext context) {
        boolean passed = false;
        while (!waiting.isEmpty() && !hasToWait(waiting.peek())) {
            pass(context, waiting.remove());
            passed = true;
        }
        if (passed) {
            context.fireChannelReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        release();
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        release();
    }

    private void release() {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }
}
