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

/** Operators that change and read the configuration, and all that they were told; checks it as a register with CAS. */
final class ConfigurationHistory {
    private static final Duration LIMIT = Duration.ofSeconds(4);
    private static final Duration PAUSE = Duration.ofMillis(250);
    private static final int TAKEN = 200;
    private static final Pattern REVISION = Pattern.compile("\"configRevision\"\\s*:\\s*([0-9]+)");

    /** One request and its answer; status 0 if none came. Revision: the order's own, or the one that was read. */
    record Call(String to, boolean put, long base, long revision, int status, Duration from, Duration until) {
        private Duration took() {
            return until.minus(from);
        }

        private boolean clear() {
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

    /** An operator that goes on until stopped: it reads, changes what it read, and repeats what got no clear answer. */
    void operate(String name, List<String> machines) {
        read(name, machines);
    }

    /** An operator whose first order builds on a revision that it knows. */
    void order(String name, List<String> machines, long base) {
        change(name, machines, base, nextRevision++);
    }

    void stop() {
        stopped = true;
    }

    private void later(Runnable step) {
        if (!stopped) {
            fixture.r.sim.after(PAUSE, step);
        }
    }

    private String any(List<String> machines) {
        return machines.get(fixture.r.sim.random().nextInt(machines.size()));
    }

    private void read(String name, List<String> machines) {
        String to = any(machines);
        Duration from = fixture.r.sim.now();
        Request get = new Request("GET", "/-/configuration", Map.of(), new byte[0]);
        fixture.r.request(to, get, LIMIT, answer -> {
            long revision = answer.filter(response -> response.status() == TAKEN)
                    .map(ConfigurationHistory::revision)
                    .orElse(0L);
            calls.add(new Call(to, false, 0, revision, status(answer), from, fixture.r.sim.now()));
            if (revision == 0) {
                later(() -> read(name, machines));
            } else {
                long next = nextRevision++;
                later(() -> change(name, machines, revision, next));
            }
        });
    }

    private void change(String name, List<String> machines, long base, long revision) {
        String to = any(machines);
        Duration from = fixture.r.sim.now();
        byte[] text = fixture.configurationStub.with(revision).text().getBytes(StandardCharsets.UTF_8);
        Request put = new Request("PUT", "/-/configuration", Map.of("if-match", Long.toString(base)), text);
        fixture.r.request(to, put, LIMIT, answer -> {
            Call call = new Call(to, true, base, revision, status(answer), from, fixture.r.sim.now());
            calls.add(call);
            later(() -> {
                if (call.clear()) {
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

    private List<Call> taken() {
        return calls.stream()
                .filter(call -> call.put() && call.status() == TAKEN)
                .toList();
    }

    long acknowledged(Duration from, Duration until) {
        return taken().stream()
                .filter(call ->
                        call.until().compareTo(from) >= 0 && call.until().compareTo(until) <= 0)
                .count();
    }

    long acknowledgedBy(String machine, Duration from) {
        return taken().stream()
                .filter(call -> call.to().equals(machine) && call.until().compareTo(from) >= 0)
                .count();
    }

    List<Call> answersOver(Duration limit) {
        return calls.stream().filter(call -> call.took().compareTo(limit) > 0).toList();
    }

    /** Yes, no or a configuration, by a machine that could not know. */
    List<Call> clearAnswersOf(String machine, Duration from, Duration until) {
        return answersOf(machine, from, until).stream().filter(Call::clear).toList();
    }

    List<Call> slowAnswersOf(String machine, Duration limit, Duration from, Duration until) {
        return answersOf(machine, from, until).stream()
                .filter(call -> call.took().compareTo(limit) > 0)
                .toList();
    }

    private List<Call> answersOf(String machine, Duration from, Duration until) {
        return calls.stream()
                .filter(call -> call.to().equals(machine)
                        && call.from().compareTo(from) >= 0
                        && call.until().compareTo(until) <= 0)
                .toList();
    }

    /** One yes for each base; nothing that was read is older than a yes, or a read, that ended before it was asked. */
    List<String> faults() {
        List<String> faults = new ArrayList<>();
        Map<Long, Long> next = new TreeMap<>();
        for (Call yes : taken()) {
            long other = next.getOrDefault(yes.base(), yes.revision());
            if (other != yes.revision()) {
                faults.add("base " + yes.base() + " taken by " + other + " and " + yes.revision());
            }
            next.put(yes.base(), yes.revision());
        }
        for (Call read : calls) {
            if (read.put() || read.status() != TAKEN) {
                continue;
            }
            calls.stream()
                    .filter(call -> call.status() == TAKEN && call.until().compareTo(read.from()) < 0)
                    .filter(call -> call.revision() > read.revision())
                    .findFirst()
                    .ifPresent(call -> faults.add(read + " is older than " + call));
        }
        return faults;
    }
}
