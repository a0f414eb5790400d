package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ObservationLog;

/** One life of a processor that fetches its jobs, a call for each free slot. docs/platform.md 5 */
final class Puller {
    private static final Duration WAIT = Duration.ofMillis(1000);
    private static final Duration CALL = Duration.ofMillis(2500);
    private static final Duration AGAIN = Duration.ofMillis(200);
    private final SimulatedPlatformFleet network;
    private final Entry entry;
    private final ObservationLog seen;
    private final String id;
    private final String service;
    private ProcessorHabits habits = ProcessorHabits.good();
    private boolean alive = true;
    private boolean leaving;
    private boolean mute;
    private int runs;

    Puller(SimulatedPlatformFleet network, Entry entry, ObservationLog seen, String id, String service) {
        this.network = network;
        this.entry = entry;
        this.seen = seen;
        this.id = id;
        this.service = service;
    }

    Puller start(int slots) {
        for (int i = 0; i < slots; i++) {
            network.sim.after(network.sim.between(0, 200_000), this::pull);
        }
        return this;
    }

    void behave(ProcessorHabits processorHabits) {
        habits = processorHabits;
    }

    void die() {
        alive = false;
    }

    /** Says nothing of its leases while it works. */
    void mute() {
        mute = true;
    }

    /** No new jobs; what it has is ended. */
    void leave() {
        leaving = true;
    }

    private void pull() {
        if (!alive || leaving) {
            return;
        }
        Request request = new Request(
                "POST",
                "/-/pull/" + service,
                Map.of("x-instance-id", id, "x-poll-wait-ms", Long.toString(WAIT.toMillis())),
                new byte[0]);
        network.request(entry.any(), request, CALL, response -> {
            if (!alive) {
                return;
            }
            if (response.isPresent() && response.get().status() == 200) {
                work(response.get());
            } else {
                network.sim.after(
                        response.isPresent() && response.get().status() == 204 ? Duration.ofMillis(1) : AGAIN,
                        this::pull);
            }
        });
    }

    private void work(Response job) {
        String message = job.headers().get("X-Attempt-Id");
        Duration began = network.sim.now();
        boolean turnedAway = network.sim.chance(habits.turnsAway());
        if (turnedAway) {
            end(job, 503, "");
            return;
        }
        seen.began.add(new ObservationLog.Began(
                message,
                service,
                job.headers().getOrDefault("X-Tenant", ""),
                job.headers().getOrDefault("X-Order-Key", ""),
                job.headers().get("X-Job-Method"),
                job.headers().get("X-Job-Target"),
                new String(job.body()),
                began));
        boolean[] over = {false};
        extendLater(job, over);
        network.sim.after(habits.work(network.sim), () -> {
            over[0] = true;
            if (!alive) {
                return;
            }
            int outcome = habits.outcome(message, network.sim);
            String seal = outcome == 200 ? id + "." + runs++ : "";
            seen.ended.add(new ObservationLog.Ended(message, outcome, seal, began, network.sim.now()));
            if (outcome == 0) {
                pull();
            } else {
                end(job, outcome, seal);
            }
        });
    }

    private static Map<String, String> lease(Response job) {
        return new LinkedHashMap<>(Map.of("x-lease-id", job.headers().get("X-Lease-Id")));
    }

    private void extendLater(Response job, boolean[] over) {
        network.sim.after(SimulatedPlatformFleet.LEASE.dividedBy(3), () -> {
            if (alive && !mute && !over[0]) {
                network.request(
                        entry.any(),
                        new Request(
                                "POST", "/-/job-extend/" + job.headers().get("X-Attempt-Id"), lease(job), new byte[0]),
                        CALL,
                        response -> {});
                extendLater(job, over);
            }
        });
    }

    /** An end without an answer is said again, until it has one. */
    private void end(Response job, int outcome, String seal) {
        if (!alive) {
            return;
        }
        Map<String, String> h = lease(job);
        h.put("x-job-outcome", Integer.toString(outcome));
        h.put("x-server-seal", seal);
        String message = job.headers().get("X-Attempt-Id");
        network.request(entry.any(), new Request("POST", "/-/job-end/" + message, h, new byte[0]), CALL, response -> {
            int status = response.map(Response::status).orElse(0);
            if (status == 0 || status >= 500) {
                network.sim.after(AGAIN, () -> end(job, outcome, seal));
                return;
            }
            if (status == 200) {
                seen.endsTaken.add(new ObservationLog.EndTaken(
                        message, job.headers().get("X-Lease-Id"), outcome, network.sim.now()));
                if (outcome == 200) {
                    seen.read.add(new ObservationLog.Read(message, network.sim.now()));
                }
            }
            pull();
        });
    }
}
