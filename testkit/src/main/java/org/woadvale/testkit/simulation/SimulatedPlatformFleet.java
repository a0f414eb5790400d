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
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.controlplane.registry.ProcessorRegistry;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.platform.PlatformApi;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The shipped nodes behind the platform's doors, on fakes; what is outside of them is the test's. (docs/design.md,
 * section 12.1)
 */
public final class SimulatedPlatformFleet extends Machines {
    /** How long a leased message rests after its last word; told to the nodes as their boot value. */
    public static final Duration LEASE = Duration.ofMillis(3000);

    private static final int KEEP_ENDED_S = 130;
    private static final int ZONES = 3;
    private static final Duration ROLL = Duration.ofMillis(700);

    public final ProcessorSimulation processorSimulation = new ProcessorSimulation(this);
    private final List<String> seeds;
    private final Map<String, ControlNode> controlNodesByAddress = new HashMap<>();
    private final Map<String, DataPlaneNode> dataPlaneNodes = new HashMap<>();
    private final Map<String, Function<Request, Mono<Response>>> handlers = new HashMap<>();
    private final FleetOverrides seams;
    private final int ringBytes;
    private Function<String, Mono<byte[]>> pages = path -> Mono.error(new UnavailableException("no list yet"));

    public SimulatedPlatformFleet(long seed, int fronts, int storeCount, FleetOverrides seams) throws ServiceException {
        this(seed, fronts, storeCount, SimulatedFleet.LARGE_RING, seams);
    }

    /** With rings of another size: so many bytes a file. */
    public SimulatedPlatformFleet(long seed, int fronts, int storeCount, int ringBytes, FleetOverrides seams)
            throws ServiceException {
        super(new Simulator(seed), ZONES);
        this.seams = seams;
        this.ringBytes = ringBytes;
        for (int i = 0; i < 3; i++) {
            controlNodes.add(host("10.0.0." + (i + 1) + ":1", i));
        }
        seeds = List.copyOf(controlNodes);
        for (int i = 0; i < storeCount; i++) {
            stores.add(host("10.0.1." + (i + 1) + ":1", i));
        }
        for (int i = 0; i < fronts; i++) {
            intakes.add(host("10.0.2." + (i + 1) + ":1", i));
        }
        for (String h : List.copyOf(hosts.keySet())) {
            start(h);
        }
    }

    /** The list of processors, page by page. */
    public void list(Function<String, Mono<byte[]>> byPath) {
        pages = byPath;
    }

    private Function<String, Mono<byte[]>> pagesFor(Host host) {
        return path -> Mono.defer(() -> {
            Sinks.One<byte[]> sink = Sinks.one();
            sim.after(
                    net.delay(),
                    () -> pages.apply(path)
                            .subscribe(
                                    b -> sim.after(net.delay(), () -> host.execute(() -> sink.tryEmitValue(b))),
                                    e -> sim.after(net.delay(), () -> host.execute(() -> sink.tryEmitError(e)))));
            return sink.asMono();
        });
    }

    @Override
    public void start(String address) throws ServiceException {
        Host host = hosts.get(address);
        boolean controlNode = controlNodes.contains(address);
        boolean store = stores.contains(address);
        ReplicationTiming timing = controlNode ? ReplicationTiming.partitions() : ReplicationTiming.defaults();
        NodeStart start = boot(address, seams, ringBytes, timing, seeds);
        RpcRouter router = start.router();
        NodeEnvironment environment = start.environment();
        CoreClient core = start.core();
        if (controlNode) {
            ControlNode node = new ControlNode(
                    environment, core, foundingMembers(address, seeds), zone(address), seams.faultTolerance());
            node.route(router);
            OperatorHttpHandler handler = new OperatorHttpHandler(node, "");
            handler.route(router);
            controlNodesByAddress.put(address, node);
            handlers.put(address, PlatformApi.control(handler));
            node.start();
            new ProcessorRegistry(environment, node, PlatformApi.registry(pagesFor(host)), ROLL).start();
        } else {
            Settings boot = new Settings(
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
                    seams.faultTolerance());
            DataPlaneNode node = new DataPlaneNode(
                    environment,
                    boot,
                    core,
                    seams.deliveryClient().apply(address, processorSimulation.from(host)),
                    PlatformApi.protocol());
            node.route(router);
            dataPlaneNodes.put(address, node);
            handlers.put(address, PlatformApi.front(node));
            node.start();
        }
    }

    public DataPlaneNode dataPlaneNode(String address) {
        return dataPlaneNodes.get(address);
    }

    public ControlNode controlNode(String address) {
        return controlNodesByAddress.get(address);
    }

    /** A request of a client, a fetching processor or the operator to one node. */
    public void request(String to, Request request, Duration limit, Consumer<Optional<Response>> then) {
        reach(to, request, () -> handlers.get(to).apply(request), limit, then);
    }

    /** The same, waited for: nobody else waits meanwhile. */
    public Optional<Response> ask(String to, Request request, Duration limit) {
        AtomicReference<Optional<Response>> out = new AtomicReference<>();
        request(to, request, limit, out::set);
        sim.runUntil(() -> out.get() != null, limit.plusSeconds(1));
        return out.get();
    }

    /** The store that owns a message part now; empty where none does. */
    public Optional<String> owner(String part) {
        return stores.stream()
                .filter(s -> host(s).alive()
                        && dataPlaneNodes.get(s).status().get("parts") instanceof Map<?, ?> parts
                        && parts.get(part) instanceof Map<?, ?> p
                        && p.get("phase") == Role.LEADER)
                .findFirst();
    }

    public boolean ready() {
        return intakes.stream()
                .allMatch(i -> hosts.get(i).alive() && dataPlaneNodes.get(i).ready());
    }
}
