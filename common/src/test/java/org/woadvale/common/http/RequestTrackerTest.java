package org.woadvale.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestTrackerTest {
    private boolean closing;
    private boolean stopping;
    private final EmbeddedChannel channel = new EmbeddedChannel(new RequestTracker(() -> closing, () -> stopping));

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private static void receiveRequest(EmbeddedChannel channel) {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    /** Sends a response and returns its Connection header, or an empty string if it has none. */
    private static String sendResponse(EmbeddedChannel channel, HttpResponseStatus status) {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
        FullHttpResponse sent = channel.readOutbound();
        return sent.headers().get(HttpHeaderNames.CONNECTION, "");
    }

    private static void advanceTime(EmbeddedChannel channel, long ms) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void newConnectionMaySendItsFirstRequestWithinTheGracePeriod() {
        RequestTracker.drain(channel);
        advanceTime(channel, RequestTracker.FIRST_REQUEST_GRACE.toMillis() - 1);
        assertTrue(channel.isOpen());
        receiveRequest(channel);
        advanceTime(channel, 1);
        assertTrue(channel.isOpen(), "its request has no answer yet");
        sendResponse(channel, HttpResponseStatus.ACCEPTED);
        assertFalse(channel.isOpen());
    }

    @Test
    void connectionWithoutARequestIsClosedAfterTheGracePeriod() {
        RequestTracker.drain(channel);
        advanceTime(channel, RequestTracker.FIRST_REQUEST_GRACE.toMillis());
        assertFalse(channel.isOpen());
    }

    @Test
    void connectionOpenedDuringTheStopServesOneRequest() {
        closing = true;
        stopping = true;
        EmbeddedChannel late = new EmbeddedChannel(new RequestTracker(() -> closing, () -> stopping));
        assertTrue(late.isOpen());
        receiveRequest(late);
        assertEquals("close", sendResponse(late, HttpResponseStatus.OK));
        assertFalse(late.isOpen());
    }

    @Test
    void idleConnectionIsClosedAtOnce() {
        receiveRequest(channel);
        sendResponse(channel, HttpResponseStatus.OK);
        assertTrue(channel.isOpen());
        RequestTracker.drain(channel);
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Test
    void onlyTheResponseToTheLastPipelinedRequestClosesTheConnection() {
        closing = true;
        receiveRequest(channel);
        receiveRequest(channel);
        assertEquals("", sendResponse(channel, HttpResponseStatus.CONTINUE));
        assertEquals("", sendResponse(channel, HttpResponseStatus.OK));
        assertTrue(channel.isOpen());
        assertEquals("close", sendResponse(channel, HttpResponseStatus.OK));
        assertFalse(channel.isOpen());
    }
}
