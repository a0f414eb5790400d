package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.woadvale.common.config.Settings;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.replication.Role;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.testkit.stub.Backend;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** A whole fleet of the shipped nodes on fakes (docs/design.md, section 12.1). */
public final class SimulatedFleet extends Machines {
    /** Small, so that faultStorms meet the ring's end too. */
    static final int SMALL_RING = 512 << 10;

    static final int LARGE_RING = 4 << 20;

    public final Observations seen = new Observations();
    public final TestConfiguration testConfiguration;
    public final Map<String, Backend> backends = new LinkedHashMap<>();
    public final SimDeliveryClient post;
    private final int ringBytes;
    private final List<String> seeds;
    /** The seeds in the settings of machines that are started from now on. */
    private List<String> joinSeeds;

    private final Map<String, ControlNode> controlNodesByAddress = new HashMap<>();
    private final Map<String, OperatorHttpHandler> operatorHandlers = new HashMap<>();
    private final Map<String, DataPlaneNode> dataPlaneNodes = new HashMap<>();
    private final FleetOverrides seams;

    public SimulatedFleet(
            long seed,
            int intakeCount,
            int storeCount,
            TestConfiguration testConfiguration,
            int ringBytes,
            int zoneCount,
            FleetOverrides seams)
            throws ServiceException {
        super(new Simulator(seed), zoneCount);
        this.seams = seams;
        this.ringBytes = ringBytes;
        this.post = new SimDeliveryClient(this);
        this.testConfiguration = testConfiguration;
        testConfiguration.allow(seen);
        for (int i = 0; i < 3; i++) {
            controlNodes.add(host("10.0.0." + (i + 1) + ":1", i));
        }
        seeds = List.copyOf(controlNodes);
        joinSeeds = seeds;
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

    /** A control node that joins a running core, with settings that name present members as seeds. */
    public String newControlNode() throws ServiceException {
        joinSeeds = presentControlNodes().stream().limit(seeds.size()).toList();
        return newControlNodeFirstSettings();
    }

    /** A control node that joins a running core, with the settings of the first start. */
    public String newControlNodeFirstSettings() throws ServiceException {
        String a = host("10.0.0." + (controlNodes.size() + 1) + ":1", controlNodes.size());
        controlNodes.add(a);
        start(a);
        return a;
    }

    /** A machine that was not there before. */
    public String newStore() throws ServiceException {
        String a = host("10.0.1." + (stores.size() + 1) + ":1", stores.size());
        stores.add(a);
        start(a);
        return a;
    }

    public Backend addBackend(String id, String service, boolean paced) {
        Backend backend = new Backend(id, service, paced, seen, post.clock(), post.clock(), sim.random()::nextLong);
        backends.put(id, backend);
        post.place(id, backend);
        return backend;
    }

    /** The process of a back end is gone; another takes its id, at another address and without its memory. */
    public Backend replaceBackend(String id) {
        Backend old = backends.get(id);
        old.crash();
        return addBackend(id, old.service(), old.paced());
    }

    @Override
    public void start(String address) throws ServiceException {
        boolean replicates = controlNodes.contains(address) || stores.contains(address);
        ReplicationTiming timing = replicates ? ReplicationTiming.partitions() : ReplicationTiming.defaults();
        NodeStart start = boot(address, seams, ringBytes, timing, joinSeeds);
        if (controlNodes.contains(address)) {
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
                seams.faultTolerance());
        node.route(start.router());
        OperatorHttpHandler handler = new OperatorHttpHandler(node, "");
        handler.route(start.router());
        controlNodesByAddress.put(address, node);
        operatorHandlers.put(address, handler);
        node.start();
    }

    private void startDataPlaneNode(String address, NodeStart start) throws ServiceException {
        boolean store = stores.contains(address);
        Settings settings = new Settings(
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
                "");
        DataPlaneNode node = new DataPlaneNode(
                start.environment(),
                settings,
                start.core(),
                seams.deliveryClient().apply(address, post.from(hosts.get(address))));
        node.route(start.router());
        dataPlaneNodes.put(address, node);
        node.start();
    }

    /** A restart within an event of the simulator. */
    void begin(String address) {
        try {
            restart(address);
        } catch (ServiceException failure) {
            throw new IllegalStateException(failure);
        }
    }

    public DataPlaneNode dataPlaneNode(String address) {
        return dataPlaneNodes.get(address);
    }

    public ControlNode controlNode(String address) {
        return controlNodesByAddress.get(address);
    }

    /** A request from outside to one node; no answer at all if the node dies or stays away. */
    public void request(String to, Request request, Duration limit, Consumer<Optional<Response>> then) {
        reach(
                to,
                request,
                () -> controlNodes.contains(to)
                        ? operatorHandlers.get(to).handle(request)
                        : dataPlaneNodes.get(to).handle(request),
                limit,
                then);
    }

    /** What each node that answers says of the configuration it uses. */
    public void seenVersions() {
        dataPlaneNodes.forEach((a, node) -> {
            if (hosts.get(a).alive() && !hosts.get(a).paused()) {
                seen.saw(
                        seen.versions,
                        new Observations.NodeVersion(a, (Long) node.status().get("layout"), sim.now()));
            }
        });
    }

    /** Everything that was not lost is up, and every copy that was lost has been made anew elsewhere. */
    public boolean repaired() {
        return hosts.keySet().stream().allMatch(h -> lost(h) || hosts.get(h).alive())
                && presentStores().stream()
                        .allMatch(s ->
                                dataPlaneNodes.get(s).status().get("seated").equals(true)
                                        && dataPlaneNodes.get(s).partitionGroups().values().stream()
                                                .noneMatch(g -> g.stream().anyMatch(this::lost)))
                && presentControlNodes().stream()
                        .allMatch(l -> ServiceNames.controlPartitions().stream()
                                .allMatch(p ->
                                        controlNodesByAddress.get(l).replica(p).role() != Role.UNINITIALIZED
                                                && controlNodesByAddress
                                                                .get(l)
                                                                .replica(p)
                                                                .role()
                                                        != Role.STOPPED
                                                && controlNodesByAddress.get(l).replica(p).members().keySet().stream()
                                                        .noneMatch(this::lost)));
    }

    public boolean ready() {
        return intakes.stream()
                .allMatch(i -> hosts.get(i).alive() && dataPlaneNodes.get(i).ready());
    }
}
