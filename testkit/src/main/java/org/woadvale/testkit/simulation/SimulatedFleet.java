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

/** A complete fleet of the shipped nodes on a simulated clock, network and disks (docs/design.md, section 12.1). */
public final class SimulatedFleet extends Machines {
    /** Small, so that fault storms also reach the end of the ring. */
    static final int SMALL_RING = 512 << 10;

    static final int LARGE_RING = 4 << 20;

    public final Observations observations = new Observations();
    public final TestConfiguration testConfiguration;
    public final Map<String, Backend> backends = new LinkedHashMap<>();
    public final SimDeliveryNetwork deliveryNetwork;
    private final int ringBytes;
    private final List<String> seeds;
    /** The seeds in the settings of the machines that are started next. */
    private List<String> joinSeeds;

    private final Map<String, OperatorHttpHandler> operatorHandlers = new HashMap<>();
    private final FleetOverrides overrides;

    public SimulatedFleet(
            long seed,
            int intakeCount,
            int storeCount,
            TestConfiguration testConfiguration,
            int ringBytes,
            int zoneCount,
            FleetOverrides overrides)
            throws ServiceException {
        super(new Simulator(seed), zoneCount);
        this.overrides = overrides;
        this.ringBytes = ringBytes;
        this.deliveryNetwork = new SimDeliveryNetwork(this);
        this.testConfiguration = testConfiguration;
        testConfiguration.allow(observations);
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

    /** Starts a control node that joins the running core, with current members as seeds in its settings. */
    public String newControlNode() throws ServiceException {
        joinSeeds = presentControlNodes().stream().limit(seeds.size()).toList();
        return newControlNodeWithInitialSettings();
    }

    /** Starts a control node that joins the running core, without updating the seeds in the settings. */
    public String newControlNodeWithInitialSettings() throws ServiceException {
        String address = host("10.0.0." + (controlNodes.size() + 1) + ":1", controlNodes.size());
        controlNodes.add(address);
        start(address);
        return address;
    }

    /** Starts a store on a new machine. */
    public String newStore() throws ServiceException {
        String address = host("10.0.1." + (stores.size() + 1) + ":1", stores.size());
        stores.add(address);
        start(address);
        return address;
    }

    public Backend addBackend(String id, String service, boolean paced) {
        Backend backend = new Backend(
                id,
                service,
                paced,
                observations,
                deliveryNetwork.clock(),
                deliveryNetwork.clock(),
                sim.random()::nextLong);
        backends.put(id, backend);
        deliveryNetwork.assignAddress(id, backend);
        return backend;
    }

    /** Replaces the process of a backend by one with the same id, another address and no memory of earlier runs. */
    public Backend replaceBackend(String id) {
        Backend replaced = backends.get(id);
        replaced.crash();
        return addBackend(id, replaced.service(), replaced.rateLimited());
    }

    @Override
    public void start(String address) throws ServiceException {
        boolean replicates = controlNodes.contains(address) || stores.contains(address);
        ReplicationTiming timing = replicates ? ReplicationTiming.partitions() : ReplicationTiming.defaults();
        NodeStart start = boot(address, overrides, ringBytes, timing, joinSeeds);
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
                overrides.faultTolerance());
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
                overrides.deliveryClient().apply(address, deliveryNetwork.clientFor(hosts.get(address))));
        node.route(start.router());
        dataPlaneNodes.put(address, node);
        node.start();
    }

    /** Restarts a machine from an event of the simulator, where no checked exception is permitted. */
    void begin(String address) {
        try {
            restart(address);
        } catch (ServiceException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Sends a request from outside the fleet to one node; empty if no response arrives within the limit. */
    public void request(String to, Request request, Duration timeout, Consumer<Optional<Response>> receiver) {
        requestFromOutside(
                to,
                request,
                () -> controlNodes.contains(to)
                        ? operatorHandlers.get(to).handle(request)
                        : dataPlaneNodes.get(to).handle(request),
                timeout,
                receiver);
    }

    /** Records the configuration version that each responsive data plane node uses. */
    public void recordConfigurationVersions() {
        dataPlaneNodes.forEach((address, node) -> {
            if (hosts.get(address).alive() && !hosts.get(address).paused()) {
                observations.append(
                        observations.versions,
                        new Observations.NodeVersion(
                                address, (Long) node.status().get("layout"), sim.now()));
            }
        });
    }

    /** Whether every machine that is not permanently lost runs and every lost replica has been replaced. */
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
