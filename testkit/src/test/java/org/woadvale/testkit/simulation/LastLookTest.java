package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.HttpGateway;
import org.woadvale.common.http.Response;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.HttpDeliveryClient;
import org.woadvale.testkit.cluster.Fleet;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Nothing waits between the last look and the sending. */
class LastLookTest {
    /** The real client: 64 streams are busy, 16 requests wait; while they wait, the look turns to no. */
    @Test
    void whatWaitsForAStreamIsLookedAtAgain() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        CountDownLatch full = new CountDownLatch(64);
        Sinks.One<Response> answer = Sinks.one();
        String address = Fleet.free();
        HttpGateway httpGateway = new HttpGateway(address, 1 << 16, request -> {
            arrived.incrementAndGet();
            full.countDown();
            return answer.asMono();
        });
        httpGateway.start();
        try {
            AtomicBoolean may = new AtomicBoolean(true);
            HttpDeliveryClient post = new HttpDeliveryClient();
            List<Mono<ErrorKind>> all = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                all.add(post.send(new DeliveryClient.DeliveryRequest(
                                "POST",
                                "http://" + address + "/messages",
                                new byte[] {'{', '}'},
                                Duration.ofSeconds(20),
                                may::get))
                        .map(deliveryResponse -> ErrorKind.CONFLICT)
                        .onErrorResume(e -> Mono.just(ServiceException.of(e).kind()))
                        .cache());
            }
            all.forEach(Mono::subscribe);
            assertTrue(full.await(30, TimeUnit.SECONDS), "64 must arrive, " + arrived.get() + " did");
            may.set(false);
            answer.tryEmitValue(Response.json(200, Map.of()));
            List<ErrorKind> kinds = all.stream().map(Mono::block).toList();
            assertEquals(64, arrived.get());
            assertEquals(
                    16, kinds.stream().filter(ErrorKind.UNREACHABLE::equals).count(), kinds.toString());
        } finally {
            httpGateway.stop();
        }
    }
}
