package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.http.Answer;
import org.woadvale.common.http.Request;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.ConfigurationStub;
import org.woadvale.testkit.stub.ObservationLog;
import org.woadvale.testkit.stub.Rules;

/** A fleet behind the platform's doors with everything that is around it there: clients, processors, operator. */
public final class PlatformSimulation {
    static final String HOST = "lode.example";
    private static final Duration LAG = Duration.ofMillis(800);
    private static final double LIST_RATE = 44;
    private static final Duration CLIENT = Duration.ofSeconds(6);
    private static final String DEADLINE_MS = "1200";
    private static final int CLIENTS = 40;
    private static final double RATE = 25;

    public final NetworkSimulation roads;
    public final ObservationLog seen = new ObservationLog();
    final ProcessorList roster;
    final Entry entry;
    final OperatorSimulation office;
    final Map<String, ScriptedClient> hands = new LinkedHashMap<>();
    final Map<String, Puller> pullers = new LinkedHashMap<>();
    private final Map<String, ScriptedClient.Table> tables = new TreeMap<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<Integer, Integer> answers = new TreeMap<>();
    private int ids;
    private int lives;
    private boolean traffic;

    public PlatformSimulation(long seed, int fronts, int stores, Seams seams) throws ServiceException {
        roads = new NetworkSimulation(seed, fronts, stores, seams);
        roster = new ProcessorList(roads.sim, LAG, LIST_RATE);
        roads.list(roster::page);
        entry = new Entry(roads);
        office = new OperatorSimulation(roads, seen, papers());
        roads.quays.onRead((q, a) -> {
            if (a.status() / 100 == 2 && a.headers().containsKey("X-Server-Seal")) {
                seen.read.add(new ObservationLog.Read(q.headers().getOrDefault("x-attempt-id", ""), roads.sim.now()));
            }
        });
    }

    static ConfigurationStub papers() {
        List<ConfigurationStub.Route> routes = List.of(
                route("hold", "desk", false, 3),
                route("accept", "book", true, 4),
                route("check", "far", false, 3),
                route("turn", "desk", true, 3),
                route("open", "plain", false, 3));
        List<ConfigurationStub.Service> services = List.of(
                new ConfigurationStub.Service("desk", 0, 100, false, true, Optional.empty()),
                new ConfigurationStub.Service("book", 0, 100, true, false, Optional.empty()),
                new ConfigurationStub.Service("plain", 0, 100, false, false, Optional.empty()),
                new ConfigurationStub.Service("far", 12, 24, true, false, Optional.of("172.20.0.3:8748")));
        List<ConfigurationStub.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            tenants.add(new ConfigurationStub.Tenant("tenant" + i, List.of("key" + i, "spare" + i), RATE, RATE));
        }
        return new ConfigurationStub(2, routes, services, tenants);
    }

    private static ConfigurationStub.Route route(String name, String service, boolean inOrder, int attempts) {
        return new ConfigurationStub.Route(name, HOST, "/" + name + "/", service, 1500, attempts, inOrder, 90, false);
    }

    /** The first configuration, the processors, and readiness. */
    public PlatformSimulation embark() {
        office.begin();
        for (int i = 0; i < 3; i++) {
            hand("book", "10.9.0." + i + ":8080");
            hand("plain", "10.9.1." + i + ":8080");
            puller();
        }
        hands.put(
                "far", place(new ScriptedClient(roads, seen, "far", "far", 6, table("far"), true), "172.20.0.3:8748"));
        FleetSimulation.require(
                roads.sim.runUntil(roads::ready, Duration.ofSeconds(40)), "the fleet did not get ready");
        roads.sim.run(Duration.ofSeconds(2));
        return this;
    }

    private ScriptedClient.Table table(String service) {
        return tables.computeIfAbsent(service, s -> new ScriptedClient.Table());
    }

    private ScriptedClient place(ScriptedClient h, String address) {
        roads.quays.place(address, h::take);
        addresses.put(h.id(), address);
        return h;
    }

    ScriptedClient hand(String service, String address) {
        String id = "i-" + lives++;
        ScriptedClient h =
                place(new ScriptedClient(roads, seen, id, service, 6, table(service), service.equals("book")), address);
        hands.put(id, h);
        roster.put(id, service, address, 6, "ready");
        return h;
    }

    Puller puller() {
        String id = "p-" + lives++;
        Puller p = new Puller(roads, entry, seen, id, "desk").start(4);
        pullers.put(id, p);
        return p;
    }

    /** It is gone at once; the list shows it for some seconds more, and its address is another's soon. */
    void crash(ScriptedClient h) {
        h.die();
        hands.remove(h.id());
        String address = addresses.get(h.id());
        roads.quays.leave(address);
        roads.sim.after(Duration.ofSeconds(3), () -> roster.drop(h.id()));
        roads.sim.after(Duration.ofSeconds(5), () -> hand(h.service(), address));
    }

    /** It is gone without a word, and a processor of another service is at its address. */
    void moveIn(ScriptedClient gone, String service) {
        gone.die();
        hands.remove(gone.id());
        hand(service, addresses.get(gone.id()));
        roads.sim.after(Duration.ofSeconds(3), () -> roster.drop(gone.id()));
    }

    /** In order: shown as draining, served for a while, and gone. */
    void leave(ScriptedClient h) {
        hands.remove(h.id());
        String address = addresses.get(h.id());
        seen.draining.add(new ObservationLog.Draining(h.id(), roster.put(h.id(), h.service(), address, 6, "draining")));
        roads.sim.after(Duration.ofMillis(4500), () -> {
            h.die();
            roads.quays.leave(address);
            roster.drop(h.id());
        });
        hand(h.service(), address + "1");
    }

    void traffic(double perSecond) {
        traffic = true;
        next(perSecond);
    }

    void calm() {
        traffic = false;
    }

    private void next(double perSecond) {
        roads.sim.after(
                Duration.ofNanos((long) (-Math.log(1 - roads.sim.random().nextDouble()) / perSecond * 1e9)), () -> {
                    if (traffic) {
                        client();
                        next(perSecond);
                    }
                });
    }

    /** A client on any route that there is, or was just added or removed, with any key that there is or was. */
    private void client() {
        List<ConfigurationStub.Route> routes = office.now().routes();
        boolean usual = roads.sim.luck(0.9);
        ConfigurationStub.Route r = usual || seen.papers.isEmpty()
                ? routes.get(roads.sim.random().nextInt(routes.size()))
                : any(any(seen.papers).papers().routes());
        int t = roads.sim.random().nextInt(4);
        String key = usual
                ? "key" + t
                : any(any(seen.papers).papers().tenants().get(t).accessKeys());
        String order = r.inOrder() ? "k" + roads.sim.random().nextInt(5) : "";
        send(
                r.pathPrefix() + ids,
                key,
                order,
                roads.sim.luck(0.1) ? 1000 : 0,
                entry.forClient(
                        roads.sim.random().nextInt(CLIENTS),
                        "hall" + roads.sim.random().nextInt(3)));
    }

    private <T> T any(List<T> list) {
        return list.get(roads.sim.random().nextInt(list.size()));
    }

    /** One try; each is a message of its own. */
    void send(String path, String key, String order, long delayMs, String node) {
        String id = "a" + ids++;
        String body = "body of " + id;
        Map<String, String> h = new LinkedHashMap<>(Map.of(
                "host", HOST, "x-attempt-id", id, "authorization", "Token " + key, "x-deadline-ms", DEADLINE_MS));
        if (!order.isEmpty()) {
            h.put("x-order-key", order);
        }
        if (delayMs > 0) {
            h.put("x-delay-ms", Long.toString(delayMs));
        }
        seen.sent.add(new ObservationLog.Sent(id, HOST, path, key, order, body, delayMs, node, roads.sim.now()));
        roads.request(node, new Request("POST", path, h, body.getBytes(StandardCharsets.UTF_8)), CLIENT, a -> {
            int status = a.map(Answer::status).orElse(0);
            answers.merge(status, 1, Integer::sum);
            seen.said.add(new ObservationLog.Said(
                    id,
                    status,
                    a.map(x -> x.headers().getOrDefault("X-Message-Ref", id)).orElse(""),
                    roads.sim.now()));
        });
    }

    /** All accepted messages are asked for, again after each failure; then the operator reads. */
    public List<String> end(Duration completion) {
        calm();
        roads.sim.run(completion);
        FleetSimulation.require(
                roads.sim.runUntil(office::idle, Duration.ofSeconds(30)), "the operator got no clear answer");
        Map<String, ObservationLog.Sent> sent = new LinkedHashMap<>();
        seen.sent.forEach(s -> sent.put(s.id(), s));
        seen.said.stream().filter(s -> s.status() == 202).forEach(s -> show(sent.get(s.id()), s.ref(), 5));
        roads.sim.run(Duration.ofSeconds(12));
        office.read();
        roads.sim.run(Duration.ofSeconds(3));
        return new Rules(seen).violations();
    }

    private String keyOf(ObservationLog.Sent s) {
        return seen.papers.stream()
                .flatMap(p -> p.papers().tenant(s.key()).stream())
                .findFirst()
                .map(t -> t.accessKeys().get(0))
                .orElse(s.key());
    }

    private void show(ObservationLog.Sent s, String ref, int tries) {
        Map<String, String> h = Map.of("host", HOST, "authorization", "Token " + keyOf(s));
        Duration limit = Duration.ofSeconds(2);
        roads.request(
                entry.any(),
                new Request("GET", "/-/message/" + ref, h, new byte[0]),
                limit,
                a -> roads.request(
                        entry.any(), new Request("GET", "/-/message-body/" + ref, h, new byte[0]), limit, b -> {
                            boolean good = a.isPresent()
                                    && b.isPresent()
                                    && a.get().status() < 500
                                    && b.get().status() < 500;
                            if (!good && tries > 0) {
                                show(s, ref, tries - 1);
                                return;
                            }
                            seen.shown.add(new ObservationLog.Shown(
                                    s.id(),
                                    a.map(Answer::status).orElse(0),
                                    a.map(x -> Callers.json(x).path("state").asText())
                                            .orElse(""),
                                    a.map(x -> Callers.json(x).path("seal").asText())
                                            .orElse(""),
                                    b.map(Answer::status).orElse(0),
                                    b.filter(x -> x.status() == 200)
                                            .map(x -> new String(x.body()))
                                            .orElse("")));
                        }));
    }

    public Map<Integer, Integer> answers() {
        return answers;
    }
}
