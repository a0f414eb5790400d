package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.http.Request;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.runtime.Timers;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.testkit.stub.Backend;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The way from stores to back ends; back ends live outside of every host. */
public final class SimDeliveryClient {
    /** The outside's clock: true time. */
    public interface Outside extends Clock, Timers {}

    private final SimulatedFleet fleet;
    private final Set<String> down = new HashSet<>();
    private final Map<String, Duration> slowStreams = new HashMap<>();
    private final Map<String, String> names = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final Map<String, Backend> at = new HashMap<>();
    private double answerLoss;
    private boolean middlebox;

    SimDeliveryClient(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    public void down(String backend, boolean isDown) {
        if (isDown) {
            down.add(backend);
        } else {
            down.remove(backend);
        }
    }

    public void answerLoss(double p) {
        answerLoss = p;
    }

    Outside clock() {
        return new Outside() {
            @Override
            public Duration monotonicTime() {
                return fleet.sim.now();
            }

            @Override
            public Instant wallTime() {
                return Instant.EPOCH.plus(fleet.sim.now());
            }

            @Override
            public TimerHandle after(Duration delay, Runnable task) {
                boolean[] cancelled = {false};
                fleet.sim.after(delay, () -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                });
                return () -> cancelled[0] = true;
            }

            @Override
            public void execute(Runnable task) {
                fleet.sim.after(Duration.ZERO, task);
            }

            @Override
            public void executeDiskTask(Runnable task) {
                fleet.sim.after(Duration.ZERO, task);
            }
        };
    }

    DeliveryClient from(Host host) {
        return call -> Mono.defer(() -> {
            Sinks.One<DeliveryClient.DeliveryResponse> sink = Sinks.one();
            host.after(call.timeout(), () -> sink.tryEmitError(new OutcomeUnknownException("no answer in time")));
            String rest = call.url().substring("http://".length());
            String address = rest.substring(0, rest.indexOf('/'));
            String id = names.getOrDefault(address, "");
            Optional<Backend> b = Optional.ofNullable(at.get(address));
            if (middlebox && names.getOrDefault(address, "").startsWith("registry")) {
                fleet.sim.after(
                        fleet.net.delay(),
                        () -> host.execute(() -> {
                            if (call.stillPermitted().getAsBoolean()) {
                                sink.tryEmitValue(new DeliveryClient.DeliveryResponse(200, new byte[] {'{', '}'}));
                            }
                        }));
                return sink.asMono();
            }
            fleet.sim.after(
                    fleet.net.delay().plus(slowStreams.getOrDefault(id, Duration.ZERO)),
                    () -> host.execute(() -> {
                        if (b.isEmpty()
                                || down.contains(id)
                                || !call.stillPermitted().getAsBoolean()) {
                            sink.tryEmitError(new UnreachableException("refused"));
                            return;
                        }
                        fleet.sim.after(
                                fleet.net.delay(),
                                () -> arrive(
                                        host,
                                        id,
                                        b.get(),
                                        new Request(
                                                call.method(),
                                                rest.substring(rest.indexOf('/')),
                                                Map.of(),
                                                call.body()),
                                        sink));
                    }));
            return sink.asMono();
        });
    }

    private void arrive(
            Host host, String id, Backend backend, Request request, Sinks.One<DeliveryClient.DeliveryResponse> sink) {
        if (down.contains(id)) {
            return;
        }
        backend.answer(request)
                .subscribe(
                        response -> {
                            if (!fleet.sim.chance(answerLoss) && !down.contains(id)) {
                                fleet.sim.after(
                                        fleet.net.delay(),
                                        () -> host.execute(() -> sink.tryEmitValue(new DeliveryClient.DeliveryResponse(
                                                response.status(), response.body()))));
                            }
                        },
                        e -> {});
    }

    /** A back end at an address of its own; a successor under the same id has another one. */
    void place(String id, Backend backend) {
        String old = addresses.getOrDefault(id, "");
        at.remove(old);
        String address = "127.0.0.1:" + (10000 + names.size());
        names.put(address, id);
        addresses.put(id, address);
        at.put(address, backend);
    }

    /** Something in between answers for the outside endpoints. */
    public void middlebox(boolean on) {
        middlebox = on;
    }

    /** How long it takes until a stream to a back end is open. */
    public void slowStreams(String backend, Duration d) {
        slowStreams.put(backend, d);
    }

    /** Back ends are addressed by number, as the configuration's rules want. */
    public String address(String backend) {
        return addresses.get(backend);
    }
}
