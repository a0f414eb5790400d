package org.woadvale.testkit.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;

/**
 * Simulates operators that read and change the configuration, records all responses, and checks the history as that of
 * a register with compare-and-set.
 */
final class ConfigurationHistory {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration OPERATION_INTERVAL = Duration.ofMillis(250);
    private static final int HTTP_OK = 200;
    private static final Pattern REVISION = Pattern.compile("\"configRevision\"\\s*:\\s*([0-9]+)");

    /**
     * One request and its response; status 0 if there was none. The revision is the one written by a PUT, or the one
     * read by a GET.
     */
    record Call(String to, boolean put, long base, long revision, int status, Duration from, Duration until) {
        private Duration duration() {
            return until.minus(from);
        }

        private boolean isDefinite() {
            return status > 0 && status < 500;
        }
    }

    private final PlatformFixture fixture;
    private final List<Call> calls = new ArrayList<>();
    private long nextRevision = 10;
    private boolean stopped;

    ConfigurationHistory(PlatformFixture fixture) {
        this.fixture = fixture;
    }

    /**
     * Starts an operator that runs until stopped: it reads, changes what it read, and repeats changes that got no
     * definite response.
     */
    void startOperator(String name, List<String> machines) {
        read(name, machines);
    }

    /** Starts an operator whose first change is based on a known revision. */
    void submitChange(String name, List<String> machines, long base) {
        change(name, machines, base, nextRevision++);
    }

    void stop() {
        stopped = true;
    }

    private void schedule(Runnable step) {
        if (!stopped) {
            fixture.fleet.sim.after(OPERATION_INTERVAL, step);
        }
    }

    private String randomMachine(List<String> machines) {
        return machines.get(fixture.fleet.sim.random().nextInt(machines.size()));
    }

    private void read(String name, List<String> machines) {
        String to = randomMachine(machines);
        Duration from = fixture.fleet.sim.now();
        Request get = new Request("GET", "/-/configuration", Map.of(), new byte[0]);
        fixture.fleet.request(to, get, REQUEST_TIMEOUT, answer -> {
            long revision = answer.filter(response -> response.status() == HTTP_OK)
                    .map(ConfigurationHistory::revision)
                    .orElse(0L);
            calls.add(new Call(to, false, 0, revision, status(answer), from, fixture.fleet.sim.now()));
            if (revision == 0) {
                schedule(() -> read(name, machines));
            } else {
                long next = nextRevision++;
                schedule(() -> change(name, machines, revision, next));
            }
        });
    }

    private void change(String name, List<String> machines, long base, long revision) {
        String to = randomMachine(machines);
        Duration from = fixture.fleet.sim.now();
        byte[] text = fixture.configurationStub.with(revision).text().getBytes(StandardCharsets.UTF_8);
        Request put = new Request("PUT", "/-/configuration", Map.of("if-match", Long.toString(base)), text);
        fixture.fleet.request(to, put, REQUEST_TIMEOUT, answer -> {
            Call call = new Call(to, true, base, revision, status(answer), from, fixture.fleet.sim.now());
            calls.add(call);
            schedule(() -> {
                if (call.isDefinite()) {
                    read(name, machines);
                } else {
                    change(name, machines, base, revision);
                }
            });
        });
    }

    private static int status(Optional<Response> answer) {
        return answer.map(Response::status).orElse(0);
    }

    private static long revision(Response answer) {
        Matcher matcher = REVISION.matcher(new String(answer.body(), StandardCharsets.UTF_8));
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private List<Call> acceptedChanges() {
        return calls.stream()
                .filter(call -> call.put() && call.status() == HTTP_OK)
                .toList();
    }

    long countAcknowledged(Duration from, Duration until) {
        return acceptedChanges().stream()
                .filter(call ->
                        call.until().compareTo(from) >= 0 && call.until().compareTo(until) <= 0)
                .count();
    }

    long countAcknowledgedBy(String machine, Duration from) {
        return acceptedChanges().stream()
                .filter(call -> call.to().equals(machine) && call.until().compareTo(from) >= 0)
                .count();
    }

    List<Call> responsesSlowerThan(Duration limit) {
        return calls.stream()
                .filter(call -> call.duration().compareTo(limit) > 0)
                .toList();
    }

    /** Responses below status 500 within the period; an isolated machine must give none, as it lacks the state. */
    List<Call> definiteResponsesOf(String machine, Duration from, Duration until) {
        return responsesOf(machine, from, until).stream()
                .filter(Call::isDefinite)
                .toList();
    }

    List<Call> slowResponsesOf(String machine, Duration limit, Duration from, Duration until) {
        return responsesOf(machine, from, until).stream()
                .filter(call -> call.duration().compareTo(limit) > 0)
                .toList();
    }

    private List<Call> responsesOf(String machine, Duration from, Duration until) {
        return calls.stream()
                .filter(call -> call.to().equals(machine)
                        && call.from().compareTo(from) >= 0
                        && call.until().compareTo(until) <= 0)
                .toList();
    }

    /**
     * Checks that at most one revision was accepted on each base, and that no read returned a revision older than one
     * that was acknowledged or read before the read was sent.
     */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        Map<Long, Long> next = new TreeMap<>();
        for (Call accepted : acceptedChanges()) {
            long acceptedRevision = next.getOrDefault(accepted.base(), accepted.revision());
            if (acceptedRevision != accepted.revision()) {
                violations.add(
                        "base " + accepted.base() + " accepted by " + acceptedRevision + " and " + accepted.revision());
            }
            next.put(accepted.base(), accepted.revision());
        }
        for (Call read : calls) {
            if (read.put() || read.status() != HTTP_OK) {
                continue;
            }
            calls.stream()
                    .filter(call -> call.status() == HTTP_OK && call.until().compareTo(read.from()) < 0)
                    .filter(call -> call.revision() > read.revision())
                    .findFirst()
                    .ifPresent(call -> violations.add(read + " is older than " + call));
        }
        return violations;
    }
}
