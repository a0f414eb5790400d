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

/** The addresses of the processors and the simulated network from the stores to them. */
public final class ProcessorNetwork {
    private final SimulatedPlatformFleet network;
    private final Map<String, Function<Request, Mono<Response>>> handlers = new HashMap<>();
    private final Set<String> silentAddresses = new HashSet<>();
    private BiConsumer<Request, Response> onResponseRead = (request, response) -> {};
    private final Map<String, Duration> connectionDelays = new HashMap<>();
    private double answerLoss;

    ProcessorNetwork(SimulatedPlatformFleet network) {
        this.network = network;
    }

    /** Places a processor at an address, in place of any other there. */
    public void place(String address, Function<Request, Mono<Response>> processor) {
        handlers.put(address, processor);
    }

    public void remove(String address) {
        handlers.remove(address);
    }

    /** Makes the processor at an address handle requests without answering them. */
    public void silent(String address, boolean isSilent) {
        if (isSilent) {
            silentAddresses.add(address);
        } else {
            silentAddresses.remove(address);
        }
    }

    public void answerLoss(double probability) {
        answerLoss = probability;
    }

    /** Sets the time that a connection to an address takes to open. */
    public void delayConnections(String address, Duration delay) {
        connectionDelays.put(address, delay);
    }

    /** Sets the listener that is called when a sender has read a response. */
    public void onResponseRead(BiConsumer<Request, Response> listener) {
        onResponseRead = listener;
    }

    DeliveryClient clientFor(Host host) {
        return call -> Mono.defer(() -> {
            Sinks.One<DeliveryClient.DeliveryResponse> sink = Sinks.one();
            host.after(call.timeout(), () -> sink.tryEmitError(new OutcomeUnknownException("no answer in time")));
            String addressAndPath = call.url().substring("http://".length());
            String address = addressAndPath.substring(0, addressAndPath.indexOf('/'));
            Request request = new Request(
                    call.method(),
                    addressAndPath.substring(addressAndPath.indexOf('/')),
                    lowerCaseNames(call.headers()),
                    call.body());
            network.sim.after(
                    network.net.delay().plus(connectionDelays.getOrDefault(address, Duration.ZERO)),
                    () -> host.execute(() -> {
                        if (!handlers.containsKey(address)
                                || !call.stillPermitted().getAsBoolean()) {
                            sink.tryEmitError(new UnreachableException("refused"));
                            return;
                        }
                        network.sim.after(network.net.delay(), () -> arrive(host, address, request, sink));
                    }));
            return sink.asMono().doOnCancel(() -> sink.tryEmitError(new OutcomeUnknownException("the caller closed")));
        });
    }

    private static Map<String, String> lowerCaseNames(Map<String, String> headers) {
        Map<String, String> lowered = new TreeMap<>();
        headers.forEach((name, value) -> lowered.put(name.toLowerCase(Locale.ROOT), value));
        return lowered;
    }

    private void arrive(Host host, String address, Request request, Sinks.One<DeliveryClient.DeliveryResponse> sink) {
        Optional<Function<Request, Mono<Response>>> handler = Optional.ofNullable(handlers.get(address));
        if (handler.isEmpty()) {
            host.execute(() -> sink.tryEmitError(new OutcomeUnknownException("reset")));
            return;
        }
        handler.get()
                .apply(request)
                .subscribe(
                        response -> {
                            if (!silentAddresses.contains(address) && !network.sim.chance(answerLoss)) {
                                network.sim.after(
                                        network.net.delay(),
                                        () -> host.execute(() -> {
                                            if (sink.tryEmitValue(new DeliveryClient.DeliveryResponse(
                                                            response.status(),
                                                            lowerCaseNames(response.headers()),
                                                            response.body()))
                                                    == Sinks.EmitResult.OK) {
                                                onResponseRead.accept(request, response);
                                            }
                                        }));
                            }
                        },
                        error -> {});
    }
}
