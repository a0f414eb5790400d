package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.testkit.stub.ObservationLog;

/**
 * One instance of a processor that pulls its jobs, with one request for each free slot (docs/platform.md, section 5).
 */
final class PullingProcessor {
    private static final Duration POLL_WAIT = Duration.ofMillis(1000);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(2500);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private final SimulatedPlatformFleet network;
    private final LoadBalancer entry;
    private final ObservationLog observations;
    private final String id;
    private final String service;
    private ProcessorBehavior behavior = ProcessorBehavior.reliable();
    private boolean alive = true;
    private boolean leaving;
    private boolean extensionsStopped;
    private int runs;

    PullingProcessor(
            SimulatedPlatformFleet network,
            LoadBalancer entry,
            ObservationLog observations,
            String id,
            String service) {
        this.network = network;
        this.entry = entry;
        this.observations = observations;
        this.id = id;
        this.service = service;
    }

    PullingProcessor start(int slots) {
        for (int i = 0; i < slots; i++) {
            network.sim.after(network.sim.between(0, 200_000), this::pull);
        }
        return this;
    }

    void behave(ProcessorBehavior newBehavior) {
        behavior = newBehavior;
    }

    void crash() {
        alive = false;
    }

    /** Stops extending leases while jobs run. */
    void stopExtendingLeases() {
        extensionsStopped = true;
    }

    /** Pulls no new jobs; running jobs are completed. */
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
                Map.of("x-instance-id", id, "x-poll-wait-ms", Long.toString(POLL_WAIT.toMillis())),
                new byte[0]);
        network.request(entry.any(), request, REQUEST_TIMEOUT, response -> {
            if (!alive) {
                return;
            }
            if (response.isPresent() && response.get().status() == 200) {
                work(response.get());
            } else {
                network.sim.after(
                        response.isPresent() && response.get().status() == 204 ? Duration.ofMillis(1) : RETRY_DELAY,
                        this::pull);
            }
        });
    }

    private void work(Response job) {
        String message = job.headers().get("X-Attempt-Id");
        Duration started = network.sim.now();
        boolean rejected = network.sim.chance(behavior.rejectionProbability());
        if (rejected) {
            reportOutcome(job, 503, "");
            return;
        }
        observations.began.add(new ObservationLog.Began(
                message,
                service,
                job.headers().getOrDefault("X-Tenant", ""),
                job.headers().getOrDefault("X-Order-Key", ""),
                job.headers().get("X-Job-Method"),
                job.headers().get("X-Job-Target"),
                new String(job.body()),
                started));
        boolean[] finished = {false};
        scheduleExtension(job, finished);
        network.sim.after(behavior.workDuration(network.sim), () -> {
            finished[0] = true;
            if (!alive) {
                return;
            }
            int outcome = behavior.outcome(message, network.sim);
            String seal = outcome == 200 ? id + "." + runs++ : "";
            observations.ended.add(new ObservationLog.Ended(message, outcome, seal, started, network.sim.now()));
            if (outcome == 0) {
                pull();
            } else {
                reportOutcome(job, outcome, seal);
            }
        });
    }

    private static Map<String, String> lease(Response job) {
        return new LinkedHashMap<>(Map.of("x-lease-id", job.headers().get("X-Lease-Id")));
    }

    private void scheduleExtension(Response job, boolean[] finished) {
        network.sim.after(SimulatedPlatformFleet.LEASE.dividedBy(3), () -> {
            if (alive && !extensionsStopped && !finished[0]) {
                network.request(
                        entry.any(),
                        new Request(
                                "POST", "/-/job-extend/" + job.headers().get("X-Attempt-Id"), lease(job), new byte[0]),
                        REQUEST_TIMEOUT,
                        response -> {});
                scheduleExtension(job, finished);
            }
        });
    }

    /** Reports the outcome of a job; repeats the report until it receives a conclusive response. */
    private void reportOutcome(Response job, int outcome, String seal) {
        if (!alive) {
            return;
        }
        Map<String, String> headers = lease(job);
        headers.put("x-job-outcome", Integer.toString(outcome));
        headers.put("x-server-seal", seal);
        String message = job.headers().get("X-Attempt-Id");
        network.request(
                entry.any(),
                new Request("POST", "/-/job-end/" + message, headers, new byte[0]),
                REQUEST_TIMEOUT,
                response -> {
                    int status = response.map(Response::status).orElse(0);
                    if (status == 0 || status >= 500) {
                        network.sim.after(RETRY_DELAY, () -> reportOutcome(job, outcome, seal));
                        return;
                    }
                    if (status == 200) {
                        observations.endsTaken.add(new ObservationLog.LeaseEndAccepted(
                                message, job.headers().get("X-Lease-Id"), outcome, network.sim.now()));
                        if (outcome == 200) {
                            observations.read.add(new ObservationLog.Read(message, network.sim.now()));
                        }
                    }
                    pull();
                });
    }
}
