package org.woadvale.testkit.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.config.Configurations;
import org.woadvale.testkit.stub.Observations;
import org.woadvale.testkit.stub.TestConfiguration;

/** Callers: mixed traffic over all intakes at a steady rate, then the question what became of it. */
public final class Load {
    private static final Duration ASK_EACH = Duration.ofSeconds(15);
    /** Accepted messages that were not yet shown as ended, with the last answer about each. */
    private final Map<String, String> left = new ConcurrentHashMap<>();

    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final StubEnvironment environment;
    private final Fleet fleet;
    private final Random random;
    private final AtomicLong ids = new AtomicLong();
    private final Map<String, Integer> owners = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<CompletableFuture<?>> open = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicLong> kinds = new ConcurrentHashMap<>();

    public Load(StubEnvironment environment, Fleet fleet, long seed) {
        this.environment = environment;
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    public void run(Duration howLong, int perSecond) {
        Duration begun = environment.times.monotonicTime();
        Duration asked = begun;
        long sent = 0;
        while (environment.times.monotonicTime().minus(begun).compareTo(howLong) < 0) {
            long due = environment.times.monotonicTime().minus(begun).toNanos() * perSecond / 1_000_000_000L;
            while (sent < due) {
                one(random.nextInt(environment.testConfiguration.tenants()));
                sent++;
            }
            if (environment.times.monotonicTime().minus(asked).compareTo(ASK_EACH) > 0) {
                // ended messages are forgotten after two minutes
                asked = environment.times.monotonicTime();
                List.copyOf(left.keySet()).forEach(this::ask);
            }
            StubEnvironment.sleep(5);
        }
    }

    /** A submission of a mixed kind at an intake that is up. */
    public CompletableFuture<Observations.Submitted> one(int tenant) {
        List<String> lanes = environment.testConfiguration.lanes();
        String lane = random.nextInt(3) == 0 ? "accept" : lanes.get(random.nextInt(lanes.size()));
        Map<String, Object> body = new LinkedHashMap<>();
        String id = "c" + ids.incrementAndGet();
        body.put("id", id);
        String order = lane.equals("accept") ? "applicant" + random.nextInt(60) : "";
        if (!order.isEmpty()) {
            body.put("orderingKey", order);
        }
        body.put("delayMs", random.nextInt(10) == 0 ? 500 + random.nextInt(1500) : 0);
        body.put("body", Map.of("text", "x".repeat(200 + random.nextInt(1000))));
        return submit(tenant, id, lane, order, Configurations.write(body), 3);
    }

    /** One submission and one read under a key at one intake, on the client's kept-alive connections. */
    public void use(String secret, NodeProcess intake) {
        String id = "k" + ids.incrementAndGet();
        byte[] body = Configurations.write(Map.of("id", id, "body", Map.of()));
        open.add(submit(0, id, "hold", "", body, 0, intake, secret));
        open.add(environment
                .client
                .send("GET", intake.http, "/v1/messages?state=failed", secret, new byte[0], Map.of())
                .handle((got, e) -> {
                    if (e == null && got.status() == 200) {
                        environment.seen.saw(
                                environment.seen.served,
                                new Observations.KeyServed(secret, "read", environment.times.monotonicTime()));
                    }
                    return true;
                }));
    }

    private CompletableFuture<Observations.Submitted> submit(
            int tenant, String id, String lane, String order, byte[] body, int tries) {
        return submit(
                tenant,
                id,
                lane,
                order,
                body,
                tries,
                fleet.intakes.get(random.nextInt(fleet.intakes.size())),
                TestConfiguration.callerKey(tenant));
    }

    private CompletableFuture<Observations.Submitted> submit(
            int tenant, String id, String lane, String order, byte[] body, int tries, NodeProcess process, String key) {
        Duration sent = environment.times.monotonicTime();
        CompletableFuture<Observations.Submitted> f = environment
                .client
                .send("POST", process.http, "/v1/lanes/" + lane + "/messages", key, body, Map.of())
                .handle((got, e) -> {
                    Sampling sampling = e == null ? Sampling.of(got) : Sampling.NONE;
                    kinds.computeIfAbsent(sampling.kind(), k -> new AtomicLong())
                            .incrementAndGet();
                    if (sampling.broken()) {
                        broken.add(id + ": " + got.told());
                    }
                    Observations.Submitted submitted = new Observations.Submitted(
                            TestConfiguration.tenant(tenant),
                            id,
                            lane,
                            order,
                            key,
                            sent,
                            environment.times.monotonicTime(),
                            sampling.said(),
                            sampling.kind(),
                            sampling.handle(),
                            sampling.repeated());
                    environment.seen.saw(environment.seen.submitted, submitted);
                    if (sampling.said() == Observations.Said.ACCEPTED) {
                        owners.put(sampling.handle(), tenant);
                        left.put(sampling.handle(), "not asked yet");
                    }
                    return submitted;
                })
                .thenCompose(submitted -> submitted.said() == Observations.Said.UNKNOWN && tries > 0
                        ? submit(tenant, id, lane, order, body, tries - 1)
                        : CompletableFuture.completedFuture(submitted));
        open.add(f);
        return f;
    }

    /** ControlMessages for every accepted message until all have ended. */
    public boolean settle(Duration limit) {
        open.forEach(f -> f.exceptionally(e -> null).join());
        open.clear();
        Duration until = environment.times.monotonicTime().plus(limit);
        while (!left.isEmpty() && environment.times.monotonicTime().compareTo(until) < 0) {
            int n = 0;
            ArrayList<CompletableFuture<?>> wave = new ArrayList<>();
            for (String h : left.keySet()) {
                if (n++ >= 200) {
                    break;
                }
                wave.add(ask(h));
            }
            wave.forEach(CompletableFuture::join);
        }
        return left.isEmpty();
    }

    private CompletableFuture<?> ask(String handle) {
        NodeProcess process = fleet.intakes.get(random.nextInt(fleet.intakes.size()));
        Duration asked = environment.times.monotonicTime();
        return environment
                .client
                .send(
                        "GET",
                        process.http,
                        "/v1/messages/" + handle,
                        TestConfiguration.callerKey(owners.get(handle)),
                        new byte[0],
                        Map.of())
                .handle((got, e) -> {
                    left.computeIfPresent(handle, (h, before) -> e == null ? got.told() : "no answer: " + e);
                    if (e == null
                            && got.status() == 200
                            && got.json().path("handle").asText().equals(handle)) {
                        Observations.Shown shown = Observations.Shown.read(
                                handle, got.json(), asked, environment.times.monotonicTime(), environment::trueTime);
                        environment.seen.saw(environment.seen.shown, shown);
                        if (shown.over()) {
                            left.remove(handle);
                        }
                    }
                    return true;
                });
    }

    /** Accepted messages that were never shown as ended, with the last answer about each. */
    public Map<String, String> unended() {
        return new TreeMap<>(left);
    }

    /** Answers that say accepted but not what: docs/api.md promises a handle with every 202. */
    public List<String> broken() {
        return List.copyOf(broken);
    }

    public Map<String, Long> kinds() {
        Map<String, Long> out = new TreeMap<>();
        kinds.forEach((k, v) -> out.put(k, v.get()));
        return out;
    }

    public Map<String, Long> states() {
        Map<String, String> last = new HashMap<>();
        environment.seen.copy(environment.seen.shown).forEach(shown -> last.put(shown.handle(), shown.state()));
        Map<String, Long> out = new TreeMap<>();
        last.values().forEach(s -> out.merge(s, 1L, Long::sum));
        return out;
    }
}
