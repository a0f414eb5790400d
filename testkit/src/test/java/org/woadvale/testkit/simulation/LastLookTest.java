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

/** The send guard is checked again after any wait, right before a request is sent. */
class LastLookTest {
    /** 64 connections are in use and 16 requests wait for one; the guard starts to reject while they wait. */
    @Test
    void whatWaitsForAStreamIsLookedAtAgain() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        CountDownLatch allConnectionsUsed = new CountDownLatch(64);
        Sinks.One<Response> response = Sinks.one();
        String address = Fleet.free();
        HttpGateway gateway = new HttpGateway(address, 1 << 16, request -> {
            arrived.incrementAndGet();
            allConnectionsUsed.countDown();
            return response.asMono();
        });
        gateway.start();
        try {
            AtomicBoolean maySend = new AtomicBoolean(true);
            HttpDeliveryClient client = new HttpDeliveryClient();
            List<Mono<ErrorKind>> results = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                results.add(client.send(new DeliveryClient.DeliveryRequest(
                                "POST",
                                "http://" + address + "/messages",
                                new byte[] {'{', '}'},
                                Duration.ofSeconds(20),
                                maySend::get))
                        .map(deliveryResponse -> ErrorKind.CONFLICT)
                        .onErrorResume(e -> Mono.just(ServiceException.of(e).kind()))
                        .cache());
            }
            results.forEach(Mono::subscribe);
            assertTrue(
                    allConnectionsUsed.await(30, TimeUnit.SECONDS),
                    "64 requests must arrive, " + arrived.get() + " did");
            maySend.set(false);
            response.tryEmitValue(Response.json(200, Map.of()));
            List<ErrorKind> kinds = results.stream().map(Mono::block).toList();
            assertEquals(64, arrived.get());
            assertEquals(
                    16, kinds.stream().filter(ErrorKind.UNREACHABLE::equals).count(), kinds.toString());
        } finally {
            gateway.stop();
        }
    }
}
