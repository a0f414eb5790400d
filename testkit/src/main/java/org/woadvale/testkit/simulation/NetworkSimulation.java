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
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.DisabledWriteAheadLog;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WriteAheadLog;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.controlplane.registry.ProcessorRegistry;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.platform.PlatformApi;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The shipped nodes behind the platform's doors, on fakes; what is outside of them is the test's. (docs/design.md,
 * section 12.1)
 */
public final class NetworkSimulation extends Machines {
    /** How long a leased message rests after its last word; told to the nodes as their boot value. */
    public static final Duration LEASE = Duration.ofMillis(3000);

    private static final int RING_FILES = 8;
    private static final int KEEP_ENDED_S = 130;
    private static final int ZONES = 3;
    private static final Duration ROLL = Duration.ofMillis(700);

    public final ProcessorSimulation processorSimulation = new ProcessorSimulation(this);
    private final List<String> seeds;
    private final Map<String, ControlNode> controlNodes = new HashMap<>();
    private final Map<String, DataPlaneNode> pilots = new HashMap<>();
    private final Map<String, Function<Request, Mono<Response>>> doors = new HashMap<>();
    private final Seams seams;
    private Function<String, Mono<byte[]>> pages = path -> Mono.error(new UnavailableException("no list yet"));

    public NetworkSimulation(long seed, int fronts, int storeCount, Seams seams) throws ServiceException {
        super(new Sim(seed), ZONES);
        this.seams = seams;
        for (int i = 0; i < 3; i++) {
            lighthouses.add(host("10.0.0." + (i + 1) + ":1", i));
        }
        seeds = List.copyOf(lighthouses);
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
                                    b -> sim.after(net.delay(), () -> host.soon(() -> sink.tryEmitValue(b))),
                                    e -> sim.after(net.delay(), () -> host.soon(() -> sink.tryEmitError(e)))));
            return sink.asMono();
        });
    }

    public void start(String address) throws ServiceException {
        Host host = hosts.get(address);
        boolean controlNode = lighthouses.contains(address);
        boolean store = stores.contains(address);
        RpcRouter router = new RpcRouter();
        Codec codec = controlNode
                ? RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types())
                : RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        host.boot(router);
        RpcClient rpc = seams.rpc().apply(address, net.rpc(host, codec));
        WriteAheadLog wal = controlNode || store
                ? RingWriteAheadLog.open(seams.disk().apply(address, host.disk), host, RING_FILES, World.LARGE_RING)
                : new DisabledWriteAheadLog();
        wal.onFailure(why -> host.kill());
        NodeEnvironment environment = new NodeEnvironment(
                seams.times().apply(address, host),
                host,
                rpc,
                codec,
                wal,
                sim.random()::nextLong,
                seams.timing().apply(controlNode ? ReplicationTiming.partitions() : ReplicationTiming.defaults()));
        CoreClient core = new CoreClient(rpc, sim.random()::nextLong, seeds, CoreMembers.unknown(), members -> {});
        if (controlNode) {
            ControlNode node = new ControlNode(environment, core, seeds, zone(address));
            node.route(router);
            OperatorHttpHandler handler = new OperatorHttpHandler(node, "");
            handler.route(router);
            controlNodes.put(address, node);
            doors.put(address, PlatformApi.control(handler));
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
                    0);
            DataPlaneNode node = new DataPlaneNode(
                    environment,
                    boot,
                    core,
                    seams.post().apply(address, processorSimulation.from(host)),
                    PlatformApi.protocol());
            node.route(router);
            pilots.put(address, node);
            doors.put(address, PlatformApi.front(node));
            node.start();
        }
    }

    public void restart(String address) throws ServiceException {
        if (!lost.contains(address) && !hosts.get(address).alive()) {
            start(address);
        }
    }

    public DataPlaneNode pilot(String address) {
        return pilots.get(address);
    }

    public ControlNode controlNode(String address) {
        return controlNodes.get(address);
    }

    /** A request of a client, a fetching processor or the operator to one node. */
    public void request(String to, Request request, Duration limit, Consumer<Optional<Response>> then) {
        reach(to, request, () -> doors.get(to).apply(request), limit, then);
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
                        && pilots.get(s).status().get("parts") instanceof Map<?, ?> parts
                        && parts.get(part) instanceof Map<?, ?> p
                        && p.get("phase") == Role.LEADER)
                .findFirst();
    }

    public boolean ready() {
        return intakes.stream()
                .allMatch(i -> hosts.get(i).alive() && pilots.get(i).ready());
    }
}
