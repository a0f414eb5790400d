package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.dataplane.DataPlaneNode;
import org.woadvale.dataplane.PlannedStop;

/** Stops the processes of simulated machines as SIGTERM does: the shipped planned stop, then the end of the process. */
final class ProcessStops {
    /** From the request to stop a process until the platform kills it. */
    static final Duration GRACE_PERIOD = Duration.ofSeconds(6);
    /** How long an intake serves on, and then answers the requests that it has read. */
    private static final Duration INTAKE_LINGER = Duration.ofMillis(4600);
    /** How long the program of a control node waits for its leaderships to be handed over. */
    private static final Duration CONTROL_DRAIN_LIMIT = Duration.ofSeconds(3);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    /** How long a process runs on after its components were told to stop. */
    private static final Duration PROCESS_END_TIME = Duration.ofMillis(300);

    private final Machines machines;

    ProcessStops(Machines machines) {
        this.machines = machines;
    }

    /** Begins the stop of the process on a machine; the task runs when the process has ended. */
    void stop(String address, Runnable onEnd) {
        Host host = machines.host(address);
        if (machines.controlNodes.contains(address)) {
            ControlNode node = machines.controlNode(address);
            Duration limit = host.monotonicTime().plus(CONTROL_DRAIN_LIMIT);
            stopOnce(host, () -> node.drain() || host.monotonicTime().compareTo(limit) >= 0, node, onEnd);
        } else {
            DataPlaneNode node = machines.dataPlaneNode(address);
            Duration linger = machines.intakes.contains(address) ? INTAKE_LINGER : Duration.ZERO;
            stopOnce(host, new PlannedStop(host, node, GRACE_PERIOD, linger)::advance, node, onEnd);
        }
    }

    /** Stops the components of a node once the condition holds, and then ends its process. */
    private static void stopOnce(Host host, BooleanSupplier mayStop, Component node, Runnable onEnd) {
        AtomicReference<TimerHandle> polling = new AtomicReference<>(() -> {});
        polling.set(host.every(POLL_INTERVAL, () -> {
            if (mayStop.getAsBoolean()) {
                polling.get().cancel();
                node.stop();
                host.closeConnections();
                host.after(PROCESS_END_TIME, () -> {
                    host.kill();
                    onEnd.run();
                });
            }
        }));
    }
}
