package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.wal.DisabledWriteAheadLog;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WriteAheadLog;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.testkit.stub.Observations;
import reactor.core.publisher.Mono;

/** The machines of a simulated fleet, independent of the nodes that run on them. */
public abstract class Machines {
    static final int RING_FILES = 8;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    public final Simulator sim;
    public final SimNet net;
    public final List<String> controlNodes = new ArrayList<>();
    public final List<String> stores = new ArrayList<>();
    public final List<String> intakes = new ArrayList<>();
    final Map<String, Host> hosts = new LinkedHashMap<>();
    final Set<String> lost = new HashSet<>();
    /** The node that was last started on each machine. */
    final Map<String, ControlNode> controlNodesByAddress = new HashMap<>();

    final Map<String, DataPlaneNode> dataPlaneNodes = new HashMap<>();
    private final ProcessStops stops = new ProcessStops(this);
    private final Set<String> startedSeeds = new HashSet<>();
    private final Map<String, String> zones = new HashMap<>();
    private final int zoneCount;
    private BiConsumer<Request, Response> responseWatcher = (request, response) -> {};

    Machines(Simulator sim, int zoneCount) {
        this.sim = sim;
        this.net = new SimNet(sim);
        this.zoneCount = zoneCount;
    }

    /** The dependencies with which a node is started on its machine. */
    record NodeStart(RpcRouter router, NodeEnvironment environment, CoreClient core) {}

    /** Starts the process of a machine from the content of its disk; machines whose role stores nothing have no log. */
    NodeStart boot(
            String address, FleetOverrides overrides, int ringBytes, ReplicationTiming timing, List<String> seeds)
            throws ServiceException {
        Host host = hosts.get(address);
        boolean controlNode = controlNodes.contains(address);
        RpcRouter router = new RpcRouter();
        Codec codec = controlNode
                ? RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types())
                : RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        host.boot(router);
        RpcClient rpc = overrides.rpc().apply(address, net.rpc(host, codec));
        WriteAheadLog wal = controlNode || stores.contains(address)
                ? RingWriteAheadLog.open(overrides.disk().apply(address, host.disk), host, RING_FILES, ringBytes)
                : new DisabledWriteAheadLog();
        wal.onFailure(cause -> host.kill());
        NodeEnvironment environment = new NodeEnvironment(
                overrides.clock().apply(address, host),
                host,
                rpc,
                codec,
                wal,
                sim.random()::nextLong,
                overrides.timing().apply(timing));
        CoreClient core = new CoreClient(rpc, sim.random()::nextLong, seeds, CoreMembers.unknown(), members -> {});
        return new NodeStart(router, environment, core);
    }

    /**
     * The initial core members in the settings of a control node: the seeds, on the first start of a seed. On later
     * starts the settings make the node join the running core, even if its disk was lost.
     */
    List<String> foundingMembers(String address, List<String> seeds) {
        return seeds.contains(address) && startedSeeds.add(address) ? seeds : List.of();
    }

    /** Starts the node of a machine. */
    public abstract void start(String address) throws ServiceException;

    /** Restarts the node of a machine, unless it runs or the machine is permanently lost. */
    public void restart(String address) throws ServiceException {
        if (!lost.contains(address) && !hosts.get(address).alive()) {
            start(address);
        }
    }

    String host(String address, int zone) {
        Host host = new Host(address, sim);
        hosts.put(address, host);
        net.add(host);
        zones.put(address, "hall" + zone % zoneCount);
        return address;
    }

    public Host host(String address) {
        return hosts.get(address);
    }

    /** Kills a machine permanently: it is never restarted. */
    public void losePermanently(String address) {
        kill(address);
        lost.add(address);
    }

    public boolean lost(String address) {
        return lost.contains(address);
    }

    public List<String> presentStores() {
        return stores.stream().filter(s -> !lost.contains(s)).toList();
    }

    public List<String> presentControlNodes() {
        return controlNodes.stream().filter(s -> !lost.contains(s)).toList();
    }

    public String zone(String address) {
        return zones.get(address);
    }

    public DataPlaneNode dataPlaneNode(String address) {
        return dataPlaneNodes.get(address);
    }

    public ControlNode controlNode(String address) {
        return controlNodesByAddress.get(address);
    }

    /** Stops the process of a machine as SIGTERM does. */
    public void stopAsPlanned(String address) {
        stops.stop(address, () -> {});
    }

    /** The same; the task runs when the process has ended. */
    public void stopAsPlanned(String address, Runnable onEnd) {
        stops.stop(address, onEnd);
    }

    public void kill(String address) {
        hosts.get(address).kill();
    }

    public List<String> all() {
        return List.copyOf(hosts.keySet());
    }

    /** Calls the watcher for each response of a machine to a request from outside the fleet. */
    public void watchResponses(BiConsumer<Request, Response> watcher) {
        responseWatcher = watcher;
    }

    /** Sends a request from outside the fleet to one machine; empty if no response arrives within the limit. */
    void requestFromOutside(
            String to,
            Request request,
            Supplier<Mono<Response>> handler,
            Duration timeout,
            Consumer<Optional<Response>> then) {
        Host host = hosts.get(to);
        AtomicBoolean completed = new AtomicBoolean();
        Consumer<Optional<Response>> completeOnce = response -> {
            if (completed.compareAndSet(false, true)) {
                then.accept(response);
            }
        };
        sim.after(timeout, () -> completeOnce.accept(Optional.empty()));
        sim.after(net.delay(), () -> {
            if (!host.alive()) {
                // the connection is not accepted: the client's connect times out
                sim.after(CONNECT_TIMEOUT, () -> completeOnce.accept(Optional.empty()));
                return;
            }
            host.execute(() -> handler.get().subscribe(response -> {
                sim.trace().add(sim.now(), to + " " + response.status());
                responseWatcher.accept(request, response);
                sim.after(net.delay(), () -> completeOnce.accept(Optional.of(response)));
            }));
        });
    }

    /** Converts a wall-clock time of a host to simulated time; unknown once the calendar of any host was shifted. */
    Duration simulatedTime(Instant stamp) {
        return hosts.values().stream().anyMatch(Host::wallClockShifted)
                ? Observations.UNSEEN
                : Duration.between(Host.EPOCH, stamp);
    }
}
