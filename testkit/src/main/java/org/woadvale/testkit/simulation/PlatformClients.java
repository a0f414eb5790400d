package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ConfigurationStub;
import org.woadvale.testkit.stub.ObservationLog;

/** Clients on the simulated platform: they send messages at random times and later read the accepted ones. */
final class PlatformClients {
    private static final int CLIENTS = 40;
    private static final int TENANTS = 4;
    private static final int ORDER_KEYS = 5;
    private static final int ZONES = 3;
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(6);
    private static final String DEADLINE_MS = "1200";
    private static final double CURRENT_CONFIGURATION_SHARE = 0.9;
    private static final double DELAYED_SHARE = 0.1;
    private static final long DELAY_MS = 1000;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private static final int READ_RETRIES = 5;

    private final SimulatedPlatformFleet network;
    private final LoadBalancer entry;
    private final OperatorSimulation operator;
    private final ObservationLog observations;
    private final Map<Integer, Integer> responses = new TreeMap<>();
    private int nextId;
    private boolean running;

    PlatformClients(
            SimulatedPlatformFleet network,
            LoadBalancer entry,
            OperatorSimulation operator,
            ObservationLog observations) {
        this.network = network;
        this.entry = entry;
        this.operator = operator;
        this.observations = observations;
    }

    /** The number of responses of each HTTP status; zero stands for no response in time. */
    Map<Integer, Integer> answers() {
        return responses;
    }

    /** Sends messages as a Poisson process until stopped. */
    void start(double perSecond) {
        running = true;
        scheduleNext(perSecond);
    }

    void stop() {
        running = false;
    }

    private void scheduleNext(double perSecond) {
        double seconds = -Math.log(1 - network.sim.random().nextDouble()) / perSecond;
        network.sim.after(Duration.ofNanos((long) (seconds * 1e9)), () -> {
            if (running) {
                sendRandom();
                scheduleNext(perSecond);
            }
        });
    }

    /** Usually uses a current route and key; otherwise those of any configuration that was sent so far. */
    private void sendRandom() {
        List<ConfigurationStub.Route> routes = operator.current().routes();
        boolean current = network.sim.chance(CURRENT_CONFIGURATION_SHARE);
        ConfigurationStub.Route route = current || observations.configurations.isEmpty()
                ? any(routes)
                : any(any(observations.configurations).configuration().routes());
        int tenant = network.sim.random().nextInt(TENANTS);
        String key = current ? "key" + tenant : anyKeySoFar(tenant);
        String orderKey = route.inOrder() ? "k" + network.sim.random().nextInt(ORDER_KEYS) : "";
        long delayMs = network.sim.chance(DELAYED_SHARE) ? DELAY_MS : 0;
        int client = network.sim.random().nextInt(CLIENTS);
        String zone = "hall" + network.sim.random().nextInt(ZONES);
        send(route.pathPrefix() + nextId, key, orderKey, delayMs, entry.forClient(client, zone));
    }

    private String anyKeySoFar(int tenant) {
        ConfigurationStub configuration = any(observations.configurations).configuration();
        return any(configuration.tenants().get(tenant).accessKeys());
    }

    private <T> T any(List<T> list) {
        return list.get(network.sim.random().nextInt(list.size()));
    }

    /** Sends one request; each call is a new message. */
    void send(String path, String key, String orderKey, long delayMs, String node) {
        String id = "a" + nextId++;
        String body = "body of " + id;
        String host = PlatformSimulation.HOST;
        Map<String, String> headers = new LinkedHashMap<>(Map.of(
                "host", host, "x-attempt-id", id, "authorization", "Token " + key, "x-deadline-ms", DEADLINE_MS));
        if (!orderKey.isEmpty()) {
            headers.put("x-order-key", orderKey);
        }
        if (delayMs > 0) {
            headers.put("x-delay-ms", Long.toString(delayMs));
        }
        observations.sent.add(
                new ObservationLog.Sent(id, host, path, key, orderKey, body, delayMs, node, network.sim.now()));
        Request request = new Request("POST", path, headers, body.getBytes(StandardCharsets.UTF_8));
        network.request(node, request, SEND_TIMEOUT, response -> recordResponse(id, response));
    }

    private void recordResponse(String id, Optional<Response> response) {
        int status = response.map(Response::status).orElse(0);
        responses.merge(status, 1, Integer::sum);
        String ref = response.map(accepted -> accepted.headers().getOrDefault("X-Message-Ref", id))
                .orElse("");
        observations.submissionAnswers.add(new ObservationLog.SubmissionAnswer(id, status, ref, network.sim.now()));
    }

    /** Reads state and body of each accepted message; retries after a failure. */
    void readAccepted() {
        Map<String, ObservationLog.Sent> sent = new LinkedHashMap<>();
        observations.sent.forEach(s -> sent.put(s.id(), s));
        observations.submissionAnswers.stream()
                .filter(said -> said.status() == 202)
                .forEach(said -> read(sent.get(said.id()), said.ref(), READ_RETRIES));
    }

    private void read(ObservationLog.Sent sent, String ref, int retries) {
        get(
                "/-/message/" + ref,
                sent,
                state -> get("/-/message-body/" + ref, sent, body -> {
                    if (!served(state) || !served(body)) {
                        if (retries > 0) {
                            read(sent, ref, retries - 1);
                            return;
                        }
                    }
                    observations.shown.add(shown(sent, state, body));
                }));
    }

    private void get(String path, ObservationLog.Sent sent, Consumer<Optional<Response>> receiver) {
        Map<String, String> headers = Map.of("host", PlatformSimulation.HOST, "authorization", "Token " + keyOf(sent));
        network.request(entry.any(), new Request("GET", path, headers, new byte[0]), READ_TIMEOUT, receiver);
    }

    private static boolean served(Optional<Response> result) {
        return result.filter(response -> response.status() < 500).isPresent();
    }

    private static ObservationLog.Shown shown(
            ObservationLog.Sent sent, Optional<Response> state, Optional<Response> body) {
        return new ObservationLog.Shown(
                sent.id(),
                state.map(Response::status).orElse(0),
                state.map(response -> Callers.json(response).path("state").asText())
                        .orElse(""),
                state.map(response -> Callers.json(response).path("seal").asText())
                        .orElse(""),
                body.map(Response::status).orElse(0),
                body.filter(response -> response.status() == 200)
                        .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                        .orElse(""));
    }

    /** The current key of the tenant that sent the message. */
    private String keyOf(ObservationLog.Sent sent) {
        return observations.configurations.stream()
                .flatMap(paper -> paper.configuration().tenant(sent.key()).stream())
                .findFirst()
                .map(tenant -> tenant.accessKeys().get(0))
                .orElse(sent.key());
    }
}
