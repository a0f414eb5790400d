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

/** The simulated network from the stores to the backends, which run outside of all hosts. */
public final class SimDeliveryNetwork {
    /** Clock and timers of the backends, in simulated time without clock faults. */
    public interface ExternalEnvironment extends Clock, Timers {}

    private final SimulatedFleet fleet;
    private final Set<String> down = new HashSet<>();
    private final Map<String, Duration> connectionDelays = new HashMap<>();
    private final Map<String, String> idsByAddress = new HashMap<>();
    private final Map<String, String> addressesById = new HashMap<>();
    private final Map<String, Backend> backendsByAddress = new HashMap<>();
    private double answerLoss;
    private boolean interceptRegistries;

    SimDeliveryNetwork(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    public void down(String backend, boolean isDown) {
        if (isDown) {
            down.add(backend);
        } else {
            down.remove(backend);
        }
    }

    public void answerLoss(double probability) {
        answerLoss = probability;
    }

    ExternalEnvironment clock() {
        return new ExternalEnvironment() {
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

    DeliveryClient clientFor(Host host) {
        return call -> Mono.defer(() -> {
            Sinks.One<DeliveryClient.DeliveryResponse> sink = Sinks.one();
            host.after(call.timeout(), () -> sink.tryEmitError(new OutcomeUnknownException("no answer in time")));
            String addressAndPath = call.url().substring("http://".length());
            String address = addressAndPath.substring(0, addressAndPath.indexOf('/'));
            String id = idsByAddress.getOrDefault(address, "");
            Optional<Backend> backend = Optional.ofNullable(backendsByAddress.get(address));
            if (interceptRegistries && idsByAddress.getOrDefault(address, "").startsWith("registry")) {
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
                    fleet.net.delay().plus(connectionDelays.getOrDefault(id, Duration.ZERO)),
                    () -> host.execute(() -> {
                        if (backend.isEmpty()
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
                                        backend.get(),
                                        new Request(
                                                call.method(),
                                                addressAndPath.substring(addressAndPath.indexOf('/')),
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
                        error -> {});
    }

    /** Places a backend at an address of its own; a successor with the same id gets another address. */
    void assignAddress(String id, Backend backend) {
        String previous = addressesById.getOrDefault(id, "");
        backendsByAddress.remove(previous);
        String address = "127.0.0.1:" + (10000 + idsByAddress.size());
        idsByAddress.put(address, id);
        addressesById.put(id, address);
        backendsByAddress.put(address, backend);
    }

    /** Makes an intermediary answer 200 in place of the external endpoints. */
    public void interceptRegistries(boolean enabled) {
        interceptRegistries = enabled;
    }

    /** Sets the time that a connection to a backend takes to open. */
    public void delayConnections(String backend, Duration delay) {
        connectionDelays.put(backend, delay);
    }

    /** The address of a backend: an IP address, as the configuration's rules require. */
    public String address(String backend) {
        return addressesById.get(backend);
    }
}
