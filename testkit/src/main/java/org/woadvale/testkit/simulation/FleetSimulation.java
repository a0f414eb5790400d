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

/** Platform and operator of a simulated fleet, and its callers. */
public final class FleetSimulation extends Callers {
    private final Map<String, String> secrets = new TreeMap<>();
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
            FleetOverrides seams)
            throws ServiceException {
        this(seed, intakes, stores, processors, testConfiguration, ringBytes, 3, seams);
    }

    public FleetSimulation(
            long seed,
            int intakes,
            int stores,
            int processors,
            TestConfiguration testConfiguration,
            int ringBytes,
            int zones,
            FleetOverrides seams)
            throws ServiceException {
        super(new SimulatedFleet(seed, intakes, stores, testConfiguration, ringBytes, zones, seams));
        for (int i = 0; i < processors; i++) {
            w.addBackend("p" + i, service(i), false);
        }
        for (int i = 0; i < testConfiguration.endpoints(); i++) {
            w.addBackend(TestConfiguration.endpoint(i), TestConfiguration.endpoint(i), true);
        }
        configuration = testConfiguration.configuration(i -> "http://" + w.post.address(TestConfiguration.endpoint(i)));
    }

    static String service(int processor) {
        return processor % 2 == 0 ? TestConfiguration.GROUP : TestConfiguration.ORDERED_GROUP;
    }

    /** Puts the first configuration, lists the processors and waits until every intake is ready. */
    public FleetSimulation startAll() {
        put(configuration, 0, "first", response -> {});
        w.backends.keySet().stream().filter(b -> b.startsWith("p")).forEach(b -> list(b, false));
        require(w.sim.runUntil(w::ready, Duration.ofSeconds(40)), "the fleet did not get ready");
        return this;
    }

    /** The secret that the configuration had for a group until now; it has another from here on. */
    String fetchSecret(String group, String next) {
        String old = secrets.getOrDefault(group, TestConfiguration.fetchKey(group));
        secrets.put(group, next);
        return old;
    }

    void useFetchSecret(String group, String secret) {
        fetchers.values().forEach(fetcher -> fetcher.use(group, secret));
    }

    public Fetcher fetcher(String id) {
        return fetchers.get(id);
    }

    /** The platform takes a processor off the list: it is gone. */
    public void unlist(String processor) {
        String service = service(Integer.parseInt(processor.substring(1)));
        operate(
                new Request("DELETE", "/v1/services/" + service + "/processors/" + processor, Map.of(), new byte[0]),
                response -> {});
    }

    public static void require(boolean ok, String why) {
        if (!ok) {
            throw new IllegalStateException(why);
        }
    }

    private String anyLighthouse() {
        List<String> all = w.presentControlNodes();
        return all.get(w.sim.random().nextInt(all.size()));
    }

    /** Repeats with the same request id until the answer is definite. */
    public void put(Configuration configuration, long base, String id, Consumer<Response> then) {
        put(configuration, base, id, w.presentControlNodes(), then);
    }

    void put(Configuration l, long base, String id, List<String> at, Consumer<Response> then) {
        byte[] json = Configurations.write(l);
        puts++;
        Request request =
                new Request("PUT", "/v1/layout", Map.of("if-match", Long.toString(base), "x-request-id", id), json);
        operate(request, at, response -> {
            boolean taken = response.status() == 200;
            long v = taken ? json(response).path("version").asLong() : -1;
            w.seen.saw(
                    w.seen.configurations,
                    new Observations.ConfigurationSaid(
                            id,
                            v,
                            taken,
                            valid(json),
                            w.sim.now(),
                            Configurations.sha256(new String(json, StandardCharsets.UTF_8))));
            if (taken && v > version) {
                version = v;
                configuration = l;
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
        readAt(anyLighthouse());
    }

    void readAt(String controlNode) {
        Duration asked = w.sim.now();
        w.request(
                controlNode,
                new Request("GET", "/v1/layout", Map.of(), new byte[0]),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> w.seen.saw(
                                w.seen.reads,
                                new Observations.ConfigurationRead(
                                        Long.parseLong(
                                                response.headers().get("ETag").replace("\"", "")),
                                        Configurations.sha256(new String(response.body(), StandardCharsets.UTF_8)),
                                        asked))));
    }

    void operate(Request request, Consumer<Response> then) {
        operate(request, w.presentControlNodes(), then);
    }

    private void operate(Request request, List<String> at, Consumer<Response> then) {
        w.request(at.get(w.sim.random().nextInt(at.size())), request, Duration.ofSeconds(4), response -> {
            if (response.isPresent() && response.get().status() < 500) {
                then.accept(response.get());
            } else {
                w.sim.after(Duration.ofMillis(200), () -> operate(request, at, then));
            }
        });
    }

    /** Those whose name begins with f fetch; the others have an address. */
    public void list(String processor, boolean leaving) {
        String service = service(Integer.parseInt(processor.substring(1)));
        if (processor.startsWith("f")) {
            fetchers.computeIfAbsent(processor, p -> new Fetcher(w, p, service).start());
        }
        if (!leaving) {
            w.seen.saw(w.seen.listed, new Observations.Listed(processor, w.sim.now()));
        }
        operate(listing(processor, leaving), response -> marked(processor, leaving));
    }

    /** The same by a control node of one's choice, asked once. */
    void listAt(String controlNode, String processor, boolean leaving) {
        w.request(
                controlNode,
                listing(processor, leaving),
                Duration.ofSeconds(4),
                optional -> optional.filter(response -> response.status() == 200)
                        .ifPresent(response -> marked(processor, leaving)));
    }

    private void marked(String processor, boolean leaving) {
        if (leaving) {
            w.seen.saw(w.seen.leaving, new Observations.MarkedLeaving(processor, w.sim.now()));
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
                        processor.startsWith("f") ? "" : "http://" + w.post.address(processor),
                        "leaving",
                        leaving)));
    }

    public List<String> violations() {
        return new NeverList(w.seen).violations();
    }
}
