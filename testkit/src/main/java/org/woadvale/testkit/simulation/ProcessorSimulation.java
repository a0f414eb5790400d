package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.dataplane.delivery.DeliveryClient;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Addresses at which processors take work, and the way there from the stores. */
public final class ProcessorSimulation {
    private final SimulatedPlatformFleet network;
    private final Map<String, Function<Request, Mono<Response>>> at = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private BiConsumer<Request, Response> onRead = (request, response) -> {};
    private final Map<String, Duration> slowStreams = new HashMap<>();
    private double answerLoss;

    ProcessorSimulation(SimulatedPlatformFleet network) {
        this.network = network;
    }

    /** Whoever was at the address before is there no more. */
    public void place(String address, Function<Request, Mono<Response>> processor) {
        at.put(address, processor);
    }

    public void leave(String address) {
        at.remove(address);
    }

    /** Takes requests and gives no answer. */
    public void silent(String address, boolean is) {
        if (is) {
            silent.add(address);
        } else {
            silent.remove(address);
        }
    }

    public void answerLoss(double p) {
        answerLoss = p;
    }

    /** How long it takes until a stream to an address is open. */
    public void slowStreams(String address, Duration d) {
        slowStreams.put(address, d);
    }

    /** Told when a sender has read an answer. */
    public void onRead(BiConsumer<Request, Response> c) {
        onRead = c;
    }

    DeliveryClient from(Host host) {
        return call -> Mono.defer(() -> {
            Sinks.One<DeliveryClient.DeliveryResponse> sink = Sinks.one();
            host.after(call.timeout(), () -> sink.tryEmitError(new OutcomeUnknownException("no answer in time")));
            String rest = call.url().substring("http://".length());
            String address = rest.substring(0, rest.indexOf('/'));
            Request request =
                    new Request(call.method(), rest.substring(rest.indexOf('/')), lower(call.headers()), call.body());
            network.sim.after(
                    network.net.delay().plus(slowStreams.getOrDefault(address, Duration.ZERO)),
                    () -> host.execute(() -> {
                        if (!at.containsKey(address) || !call.stillPermitted().getAsBoolean()) {
                            sink.tryEmitError(new UnreachableException("refused"));
                            return;
                        }
                        network.sim.after(network.net.delay(), () -> arrive(host, address, request, sink));
                    }));
            return sink.asMono();
        });
    }

    private static Map<String, String> lower(Map<String, String> headers) {
        Map<String, String> out = new TreeMap<>();
        headers.forEach((k, v) -> out.put(k.toLowerCase(Locale.ROOT), v));
        return out;
    }

    private void arrive(Host host, String address, Request request, Sinks.One<DeliveryClient.DeliveryResponse> sink) {
        Optional<Function<Request, Mono<Response>>> p = Optional.ofNullable(at.get(address));
        if (p.isEmpty()) {
            host.execute(() -> sink.tryEmitError(new OutcomeUnknownException("reset")));
            return;
        }
        p.get()
                .apply(request)
                .subscribe(
                        response -> {
                            if (!silent.contains(address) && !network.sim.chance(answerLoss)) {
                                network.sim.after(
                                        network.net.delay(),
                                        () -> host.execute(() -> {
                                            if (sink.tryEmitValue(new DeliveryClient.DeliveryResponse(
                                                            response.status(),
                                                            lower(response.headers()),
                                                            response.body()))
                                                    == Sinks.EmitResult.OK) {
                                                onRead.accept(request, response);
                                            }
                                        }));
                            }
                        },
                        e -> {});
    }
}
