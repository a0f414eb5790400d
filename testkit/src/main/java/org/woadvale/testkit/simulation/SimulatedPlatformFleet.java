package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.woadvale.common.config.Settings;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.controlplane.registry.ProcessorRegistry;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.platform.PlatformAdapter;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The shipped nodes behind the platform's interfaces, on a simulated clock, network and disks; the test provides their
 * clients, processors and operator (docs/design.md, section 12.1).
 */
public final class SimulatedPlatformFleet extends Machines {
    /** How long a leased message is reserved after its last extension; the nodes get it in their boot settings. */
    public static final Duration LEASE = Duration.ofMillis(3000);

    private static final int KEEP_ENDED_S = 130;
    private static final int ZONES = 3;
    private static final Duration PROCESSOR_LIST_READ_INTERVAL = Duration.ofMillis(700);

    public final ProcessorNetwork processorNetwork = new ProcessorNetwork(this);
    private final List<String> seeds;
    private final Map<String, Function<Request, Mono<Response>>> handlers = new HashMap<>();
    private final FleetOverrides overrides;
    private final int ringBytes;
    private Function<String, Mono<byte[]>> processorListPages =
            path -> Mono.error(new UnavailableException("no list yet"));

    public SimulatedPlatformFleet(long seed, int intakeCount, int storeCount, FleetOverrides overrides)
            throws ServiceException {
        this(seed, intakeCount, storeCount, SimulatedFleet.LARGE_RING, overrides);
    }

    /** Uses rings with the given size of a file. */
    public SimulatedPlatformFleet(long seed, int intakeCount, int storeCount, int ringBytes, FleetOverrides overrides)
            throws ServiceException {
        super(new Simulator(seed), ZONES);
        this.overrides = overrides;
        this.ringBytes = ringBytes;
        for (int i = 0; i < 3; i++) {
            controlNodes.add(host("10.0.0." + (i + 1) + ":1", i));
        }
        seeds = List.copyOf(controlNodes);
        for (int i = 0; i < storeCount; i++) {
            stores.add(host("10.0.1." + (i + 1) + ":1", i));
        }
        for (int i = 0; i < intakeCount; i++) {
            intakes.add(host("10.0.2." + (i + 1) + ":1", i));
        }
        for (String h : List.copyOf(hosts.keySet())) {
            start(h);
        }
    }

    /** Sets the source of the list of processors, which returns one page for each path. */
    public void setProcessorListSource(Function<String, Mono<byte[]>> source) {
        processorListPages = source;
    }

    private Function<String, Mono<byte[]>> processorListPagesFor(Host host) {
        return path -> Mono.defer(() -> {
            Sinks.One<byte[]> sink = Sinks.one();
            sim.after(
                    net.delay(),
                    () -> processorListPages
                            .apply(path)
                            .subscribe(
                                    page -> sim.after(net.delay(), () -> host.execute(() -> sink.tryEmitValue(page))),
                                    error -> sim.after(
                                            net.delay(), () -> host.execute(() -> sink.tryEmitError(error)))));
            return sink.asMono();
        });
    }

    @Override
    public void start(String address) throws ServiceException {
        boolean controlNode = controlNodes.contains(address);
        ReplicationTiming timing = controlNode ? ReplicationTiming.partitions() : ReplicationTiming.defaults();
        NodeStart start = boot(address, overrides, ringBytes, timing, seeds);
        if (controlNode) {
            startControlNode(address, start);
        } else {
            startDataPlaneNode(address, start);
        }
    }

    private void startControlNode(String address, NodeStart start) throws ServiceException {
        ControlNode node = new ControlNode(
                start.environment(),
                start.core(),
                foundingMembers(address, seeds),
                zone(address),
                overrides.faultTolerance());
        node.route(start.router());
        OperatorHttpHandler handler = new OperatorHttpHandler(node, "");
        handler.route(start.router());
        controlNodesByAddress.put(address, node);
        handlers.put(address, PlatformAdapter.controlHandler(handler));
        node.start();
        new ProcessorRegistry(
                        start.environment(),
                        node,
                        PlatformAdapter.processorSource(processorListPagesFor(hosts.get(address))),
                        PROCESSOR_LIST_READ_INTERVAL)
                .start();
    }

    private void startDataPlaneNode(String address, NodeStart start) throws ServiceException {
        DataPlaneNode node = new DataPlaneNode(
                start.environment(),
                settings(address),
                start.core(),
                overrides.deliveryClient().apply(address, processorNetwork.clientFor(hosts.get(address))),
                PlatformAdapter.deliveryProtocol());
        node.route(start.router());
        dataPlaneNodes.put(address, node);
        handlers.put(address, PlatformAdapter.frontHandler(node));
        node.start();
    }

    private Settings settings(String address) {
        boolean store = stores.contains(address);
        return new Settings(
                address,
                address,
                zone(address),
                seeds,
                Set.of(store ? "store" : "intake"),
                store ? "x" : "",
                RING_FILES,
                1,
                "",
                false,
                8,
                "",
                LEASE.toMillis(),
                KEEP_ENDED_S,
                0,
                overrides.faultTolerance(),
                ProcessStops.GRACE_PERIOD.toMillis());
    }

    /** Sends a request of a client, a pulling processor or the operator to one node. */
    public void request(String to, Request request, Duration limit, Consumer<Optional<Response>> receiver) {
        requestFromOutside(to, request, () -> handlers.get(to).apply(request), limit, receiver);
    }

    /** Sends a request and runs the simulator until the response arrives; must not be called from an event. */
    public Optional<Response> requestAndWait(String to, Request request, Duration limit) {
        AtomicReference<Optional<Response>> result = new AtomicReference<>();
        request(to, request, limit, result::set);
        sim.runUntil(() -> result.get() != null, limit.plusSeconds(1));
        return result.get();
    }

    /** The store that leads a message partition; empty if none does. */
    public Optional<String> owner(String partition) {
        return stores.stream()
                .filter(s -> host(s).alive()
                        && dataPlaneNodes.get(s).status().get("parts") instanceof Map<?, ?> parts
                        && parts.get(partition) instanceof Map<?, ?> status
                        && status.get("phase") == Role.LEADER)
                .findFirst();
    }

    public boolean ready() {
        return intakes.stream()
                .allMatch(i -> hosts.get(i).alive() && dataPlaneNodes.get(i).ready());
    }
}
