package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** A simulated fleet with its platform, operator and callers. */
public final class FleetSimulation extends Callers {
    private final Map<String, String> fetchSecrets = new TreeMap<>();
    private final Map<String, Fetcher> fetchers = new TreeMap<>();
    public Configuration configuration;
    public long version;
    long puts;

    public FleetSimulation(long seed, int intakes, int stores, int processors) throws ServiceException {
        this(seed, intakes, stores, processors, new TestConfiguration(3, 2, 20, 30, 26), SimulatedFleet.SMALL_RING);
    }

    public FleetSimulation(
            long seed, int intakes, int stores, int processors, TestConfiguration testConfiguration, int ringBytes)
            throws ServiceException {
        this(seed, intakes, stores, processors, testConfiguration, ringBytes, FleetOverrides.none());
    }

    public FleetSimulation(
            long seed,
            int intakes,
            int stores,
            int processors,
            TestConfiguration testConfiguration,
            int ringBytes,
            FleetOverrides overrides)
            throws ServiceException {
        this(seed, intakes, stores, processors, testConfiguration, ringBytes, 3, overrides);
    }

    public FleetSimulation(
            long seed,
            int intakes,
            int stores,
            int processors,
            TestConfiguration testConfiguration,
            int ringBytes,
            int zones,
            FleetOverrides overrides)
            throws ServiceException {
        super(new SimulatedFleet(seed, intakes, stores, testConfiguration, ringBytes, zones, overrides));
        for (int i = 0; i < processors; i++) {
            fleet.addBackend("p" + i, service(i), false);
        }
        for (int i = 0; i < testConfiguration.endpoints(); i++) {
            fleet.addBackend(TestConfiguration.endpoint(i), TestConfiguration.endpoint(i), true);
        }
        configuration = testConfiguration.configuration(
                i -> "http://" + fleet.deliveryNetwork.address(TestConfiguration.endpoint(i)));
    }

    static String service(int processor) {
        return processor % 2 == 0 ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP;
    }

    /** Puts the first configuration, lists the processors and waits until every intake is ready. */
    public FleetSimulation startAll() {
        put(configuration, 0, "first", response -> {});
        fleet.backends.keySet().stream().filter(b -> b.startsWith("p")).forEach(b -> putProcessor(b, false));
        require(fleet.sim.runUntil(fleet::ready, Duration.ofSeconds(40)), "the fleet did not become ready within 40 s");
        return this;
    }

    /** Replaces the secret of a group's processor key, and returns the former one. */
    String replaceFetchSecret(String group, String newSecret) {
        String old = fetchSecrets.getOrDefault(group, TestConfiguration.fetchKey(group));
        fetchSecrets.put(group, newSecret);
        return old;
    }

    void useFetchSecret(String group, String secret) {
        fetchers.values().forEach(fetcher -> fetcher.useSecret(group, secret));
    }

    public Fetcher fetcher(String id) {
        return fetchers.get(id);
    }

    /** Removes a processor from the list, as the platform does when the processor no longer exists. */
    public void removeProcessor(String processor) {
        String service = service(Integer.parseInt(processor.substring(1)));
        operate(
                new Request("DELETE", "/v1/services/" + service + "/processors/" + processor, Map.of(), new byte[0]),
                response -> {});
    }

    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    private String anyControlNode() {
        List<String> controlNodes = fleet.presentControlNodes();
        return controlNodes.get(fleet.sim.random().nextInt(controlNodes.size()));
    }

    /** Sends a configuration, and repeats it under the same request id until the answer is definite. */
    public void put(Configuration configuration, long base, String id, Consumer<Response> then) {
        put(configuration, base, id, fleet.presentControlNodes(), then);
    }

    void put(Configuration newConfiguration, long base, String id, List<String> controlNodes, Consumer<Response> then) {
        byte[] json = Configurations.write(newConfiguration);
        puts++;
        Request request =
                new Request("PUT", "/v1/layout", Map.of("if-match", Long.toString(base), "x-request-id", id), json);
        operate(request, controlNodes, response -> {
            boolean accepted = response.status() == 200;
            long acceptedVersion = accepted ? json(response).path("version").asLong() : -1;
            fleet.observations.append(
                    fleet.observations.configurations,
                    new Observations.ConfigurationAnswer(
                            id,
                            acceptedVersion,
                            accepted,
                            valid(json),
                            fleet.sim.now(),
                            Configurations.sha256(new String(json, StandardCharsets.UTF_8))));
            if (accepted && acceptedVersion > version) {
                version = acceptedVersion;
                configuration = newConfiguration;
            }
            then.accept(response);
        });
    }

    private static boolean valid(byte[] json) {
        try {
            Configurations.parseAndValidate(json);
            return true;
        } catch (ServiceException failure) {
            return false;
        }
    }

    public void read() {
        readAt(anyControlNode());
    }

    void readAt(String controlNode) {
        Duration asked = fleet.sim.now();
        fleet.request(
                controlNode,
                new Request("GET", "/v1/layout", Map.of(), new byte[0]),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> fleet.observations.append(
                                fleet.observations.reads,
                                new Observations.ConfigurationRead(
                                        Long.parseLong(
                                                response.headers().get("ETag").replace("\"", "")),
                                        Configurations.sha256(new String(response.body(), StandardCharsets.UTF_8)),
                                        asked))));
    }

    void operate(Request request, Consumer<Response> then) {
        operate(request, fleet.presentControlNodes(), then);
    }

    private void operate(Request request, List<String> controlNodes, Consumer<Response> then) {
        fleet.request(
                controlNodes.get(fleet.sim.random().nextInt(controlNodes.size())),
                request,
                Duration.ofSeconds(4),
                response -> {
                    if (response.isPresent() && response.get().status() < 500) {
                        then.accept(response.get());
                    } else {
                        fleet.sim.after(Duration.ofMillis(200), () -> operate(request, controlNodes, then));
                    }
                });
    }

    /** Lists a processor; one whose name begins with f fetches, the others have an address. */
    public void putProcessor(String processor, boolean leaving) {
        String service = service(Integer.parseInt(processor.substring(1)));
        if (processor.startsWith("f")) {
            fetchers.computeIfAbsent(processor, p -> new Fetcher(fleet, p, service).start());
        }
        if (!leaving) {
            fleet.observations.append(fleet.observations.listed, new Observations.Listed(processor, fleet.sim.now()));
        }
        operate(listing(processor, leaving), response -> recordLeaving(processor, leaving));
    }

    /** Lists a processor at the given control node, without repeating the request. */
    void putProcessorAt(String controlNode, String processor, boolean leaving) {
        fleet.request(
                controlNode,
                listing(processor, leaving),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> recordLeaving(processor, leaving)));
    }

    private void recordLeaving(String processor, boolean leaving) {
        if (leaving) {
            fleet.observations.append(
                    fleet.observations.leaving, new Observations.MarkedLeaving(processor, fleet.sim.now()));
        }
    }

    Request listing(String processor, boolean leaving) {
        String service = service(Integer.parseInt(processor.substring(1)));
        return new Request(
                "PUT",
                "/v1/services/" + service + "/processors/" + processor,
                Map.of(),
                Configurations.write(Map.of(
                        "address",
                        processor.startsWith("f") ? "" : "http://" + fleet.deliveryNetwork.address(processor),
                        "leaving",
                        leaving)));
    }

    public List<String> violations() {
        return new NeverList(fleet.observations).violations();
    }
}
