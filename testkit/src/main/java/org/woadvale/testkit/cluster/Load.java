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

/** Sends mixed traffic to all intakes at a constant rate, then polls the outcomes of the accepted messages. */
public final class Load {
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(15);
    /** Accepted messages not yet reported as ended, with the last answer about each. */
    private final Map<String, String> unfinished = new ConcurrentHashMap<>();

    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final StubEnvironment environment;
    private final Fleet fleet;
    private final Random random;
    private final AtomicLong ids = new AtomicLong();
    private final Map<String, Integer> owners = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<CompletableFuture<?>> pending = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicLong> countsByOutcome = new ConcurrentHashMap<>();

    public Load(StubEnvironment environment, Fleet fleet, long seed) {
        this.environment = environment;
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    public void run(Duration duration, int perSecond) {
        Duration start = environment.times.monotonicTime();
        Duration polled = start;
        long sent = 0;
        while (environment.times.monotonicTime().minus(start).compareTo(duration) < 0) {
            long due = environment.times.monotonicTime().minus(start).toNanos() * perSecond / 1_000_000_000L;
            while (sent < due) {
                submitRandom(random.nextInt(environment.testConfiguration.tenants()));
                sent++;
            }
            if (environment.times.monotonicTime().minus(polled).compareTo(POLL_INTERVAL) > 0) {
                // messages are polled during the run because ended ones are deleted after two minutes
                polled = environment.times.monotonicTime();
                List.copyOf(unfinished.keySet()).forEach(this::pollStatus);
            }
            StubEnvironment.sleep(5);
        }
    }

    /** Submits a random kind of message at a random intake. */
    public CompletableFuture<Observations.Submitted> submitRandom(int tenant) {
        List<String> lanes = environment.testConfiguration.lanes();
        String lane = random.nextInt(3) == 0 ? "accept" : lanes.get(random.nextInt(lanes.size()));
        Map<String, Object> body = new LinkedHashMap<>();
        String id = "c" + ids.incrementAndGet();
        body.put("id", id);
        String orderKey = lane.equals("accept") ? "applicant" + random.nextInt(60) : "";
        if (!orderKey.isEmpty()) {
            body.put("orderingKey", orderKey);
        }
        body.put("delayMs", random.nextInt(10) == 0 ? 500 + random.nextInt(1500) : 0);
        body.put("body", Map.of("text", "x".repeat(200 + random.nextInt(1000))));
        return submit(tenant, id, lane, orderKey, Configurations.write(body), 3);
    }

    /** One submission and one read under a key at one intake, on the client's keep-alive connections. */
    public void use(String secret, NodeProcess intake) {
        String id = "k" + ids.incrementAndGet();
        byte[] body = Configurations.write(Map.of("id", id, "body", Map.of()));
        pending.add(submit(0, id, "hold", "", body, 0, intake, secret));
        pending.add(environment
                .client
                .send("GET", intake.http, "/v1/messages?state=failed", secret, new byte[0], Map.of())
                .handle((answer, e) -> {
                    if (e == null && answer.status() == 200) {
                        environment.observations.append(
                                environment.observations.served,
                                new Observations.RequestServed(secret, "read", environment.times.monotonicTime()));
                    }
                    return true;
                }));
    }

    private CompletableFuture<Observations.Submitted> submit(
            int tenant, String id, String lane, String orderKey, byte[] body, int retries) {
        return submit(
                tenant,
                id,
                lane,
                orderKey,
                body,
                retries,
                fleet.intakes.get(random.nextInt(fleet.intakes.size())),
                TestConfiguration.callerKey(tenant));
    }

    private CompletableFuture<Observations.Submitted> submit(
            int tenant,
            String id,
            String lane,
            String orderKey,
            byte[] body,
            int retries,
            NodeProcess process,
            String key) {
        Duration sent = environment.times.monotonicTime();
        CompletableFuture<Observations.Submitted> submission = environment
                .client
                .send("POST", process.http, "/v1/lanes/" + lane + "/messages", key, body, Map.of())
                .handle((answer, e) -> {
                    SubmissionResult result = e == null ? SubmissionResult.of(answer) : SubmissionResult.NO_ANSWER;
                    countsByOutcome
                            .computeIfAbsent(result.kind(), k -> new AtomicLong())
                            .incrementAndGet();
                    if (result.isMalformed()) {
                        broken.add(id + ": " + answer.describe());
                    }
                    Observations.Submitted submitted = new Observations.Submitted(
                            TestConfiguration.tenant(tenant),
                            id,
                            lane,
                            orderKey,
                            key,
                            sent,
                            environment.times.monotonicTime(),
                            result.outcome(),
                            result.kind(),
                            result.handle(),
                            result.repeated());
                    environment.observations.append(environment.observations.submitted, submitted);
                    if (result.outcome() == Observations.SubmissionOutcome.ACCEPTED) {
                        owners.put(result.handle(), tenant);
                        unfinished.put(result.handle(), "not polled yet");
                    }
                    return submitted;
                })
                .thenCompose(submitted -> submitted.outcome() == Observations.SubmissionOutcome.UNKNOWN && retries > 0
                        ? submit(tenant, id, lane, orderKey, body, retries - 1)
                        : CompletableFuture.completedFuture(submitted));
        pending.add(submission);
        return submission;
    }

    /** Polls every accepted message until all have ended or the limit is reached. */
    public boolean settle(Duration limit) {
        pending.forEach(f -> f.exceptionally(e -> null).join());
        pending.clear();
        Duration until = environment.times.monotonicTime().plus(limit);
        while (!unfinished.isEmpty() && environment.times.monotonicTime().compareTo(until) < 0) {
            int count = 0;
            ArrayList<CompletableFuture<?>> batch = new ArrayList<>();
            for (String handle : unfinished.keySet()) {
                if (count++ >= 200) {
                    break;
                }
                batch.add(pollStatus(handle));
            }
            batch.forEach(CompletableFuture::join);
        }
        return unfinished.isEmpty();
    }

    private CompletableFuture<?> pollStatus(String handle) {
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
                .handle((answer, e) -> {
                    unfinished.computeIfPresent(
                            handle, (h, before) -> e == null ? answer.describe() : "no answer: " + e);
                    if (e == null
                            && answer.status() == 200
                            && answer.json().path("handle").asText().equals(handle)) {
                        Observations.StatusRead shown = Observations.StatusRead.read(
                                handle, answer.json(), asked, environment.times.monotonicTime(), environment::trueTime);
                        environment.observations.append(environment.observations.shown, shown);
                        if (shown.isTerminal()) {
                            unfinished.remove(handle);
                        }
                    }
                    return true;
                });
    }

    /** Accepted messages that were never reported as ended, with the last answer about each. */
    public Map<String, String> unended() {
        return new TreeMap<>(unfinished);
    }

    /** Answers with status 202 but without the handle that docs/api.md promises. */
    public List<String> broken() {
        return List.copyOf(broken);
    }

    public Map<String, Long> countsByOutcome() {
        Map<String, Long> out = new TreeMap<>();
        countsByOutcome.forEach((kind, count) -> out.put(kind, count.get()));
        return out;
    }

    public Map<String, Long> states() {
        Map<String, String> last = new HashMap<>();
        environment
                .observations
                .copy(environment.observations.shown)
                .forEach(shown -> last.put(shown.handle(), shown.state()));
        Map<String, Long> out = new TreeMap<>();
        last.values().forEach(state -> out.merge(state, 1L, Long::sum));
        return out;
    }
}
