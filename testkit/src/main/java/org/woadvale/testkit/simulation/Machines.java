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
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.testkit.stub.Observations;
import reactor.core.publisher.Mono;

/** The machines of a simulated fleet, whatever runs on them. */
public abstract class Machines {
    static final int RING_FILES = 8;
    private static final Duration CONNECT = Duration.ofSeconds(1);
    public final Simulator sim;
    public final SimNet net;
    public final List<String> controlNodes = new ArrayList<>();
    public final List<String> stores = new ArrayList<>();
    public final List<String> intakes = new ArrayList<>();
    final Map<String, Host> hosts = new LinkedHashMap<>();
    final Set<String> lost = new HashSet<>();
    private final Set<String> startedBefore = new HashSet<>();
    private final Map<String, String> zones = new HashMap<>();
    private final int zoneCount;
    private BiConsumer<Request, Response> answers = (request, answer) -> {};

    Machines(Simulator sim, int zoneCount) {
        this.sim = sim;
        this.net = new SimNet(sim);
        this.zoneCount = zoneCount;
    }

    /** What a node is started with on its machine. */
    record NodeStart(RpcRouter router, NodeEnvironment environment, CoreClient core) {}

    /** Starts the process of a machine on what its disk holds; machines without a role that stores have no log. */
    NodeStart boot(
            String address, FleetOverrides overrides, int ringBytes, ReplicationTiming timing, List<String> knownSeeds)
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
        wal.onFailure(why -> host.kill());
        NodeEnvironment environment = new NodeEnvironment(
                overrides.clock().apply(address, host),
                host,
                rpc,
                codec,
                wal,
                sim.random()::nextLong,
                overrides.timing().apply(timing));
        CoreClient core = new CoreClient(rpc, sim.random()::nextLong, knownSeeds, CoreMembers.unknown(), members -> {});
        return new NodeStart(router, environment, core);
    }

    /**
     * The members that the settings of a control node name for the founding of the core: the seeds, on the seeds' own
     * first start. Later settings say that the node joins a running core, whatever has become of its disk.
     */
    List<String> foundingMembers(String address, List<String> seeds) {
        return seeds.contains(address) && startedBefore.add(address) ? seeds : List.of();
    }

    /** Starts the node of a machine. */
    public abstract void start(String address) throws ServiceException;

    /** Starts it again, unless it runs or is gone for good. */
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

    /** Gone for good. */
    public void lose(String address) {
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

    public void kill(String address) {
        hosts.get(address).kill();
    }

    public List<String> all() {
        return List.copyOf(hosts.keySet());
    }

    /** Sees each answer that a machine makes to a request from outside. */
    public void watchAnswers(BiConsumer<Request, Response> watcher) {
        answers = watcher;
    }

    /** A request from outside to one machine; no answer at all if it dies or stays away. */
    void reach(
            String to,
            Request request,
            Supplier<Mono<Response>> door,
            Duration limit,
            Consumer<Optional<Response>> then) {
        Host host = hosts.get(to);
        AtomicBoolean over = new AtomicBoolean();
        Consumer<Optional<Response>> once = response -> {
            if (over.compareAndSet(false, true)) {
                then.accept(response);
            }
        };
        sim.after(limit, () -> once.accept(Optional.empty()));
        sim.after(net.delay(), () -> {
            if (!host.alive()) {
                // nobody takes the stream: the client's connect times out
                sim.after(CONNECT, () -> once.accept(Optional.empty()));
                return;
            }
            host.execute(() -> door.get().subscribe(response -> {
                sim.trace().add(sim.now(), to + " " + response.status());
                answers.accept(request, response);
                sim.after(net.delay(), () -> once.accept(Optional.of(response)));
            }));
        });
    }

    /** What a host's calendar showed, in the simulator's time; nothing can be told once calendars differ. */
    Duration trueTime(Instant stamp) {
        return hosts.values().stream().anyMatch(Host::calendarOff)
                ? Observations.UNSEEN
                : Duration.between(Host.EPOCH, stamp);
    }
}
