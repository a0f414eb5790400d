package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesRequest;
import org.woadvale.common.replication.ReplicationMessages.StartElectionRequest;
import org.woadvale.common.replication.Role;

/** A heartbeat of the former leader arrives after the leader has asked its successor to start an election. */
@ExtendWith(EngineLoggingDisabled.class)
class LateHeartbeatTest {
    private static final int MAX_STEPS = 200;
    private static final int MAX_TICKS = 20;
    private final ModelCluster cluster = new ModelCluster(ModelSettings.of(3));

    /**
     * Guards against a delayed heartbeat that ends the candidacy of the successor and leaves the partition without a
     * leader until leases expire.
     */
    @Test
    void delayedHeartbeatDoesNotEndCandidacyAfterTransfer() throws InvariantViolationException {
        for (Action action : StartState.LED.actions(ModelSettings.of(3))) {
            cluster.apply(action);
        }
        ModelNode leader = cluster.activeLeader().orElseThrow();
        runUntilSent(body -> body instanceof AppendEntriesRequest request
                && request.entries().isEmpty());
        String successor = leader.replica().successor().orElseThrow();
        cluster.apply(Action.of(ActionKind.TRANSFER, leader.name()));
        deliver(successor, body -> body instanceof StartElectionRequest);
        deliver(successor, body -> body instanceof AppendEntriesRequest);
        assertEquals(Role.CANDIDATE, cluster.node(successor).replica().role());
        int ticks = 0;
        for (int step = 0; step < MAX_STEPS && !isActiveLeader(successor); step++) {
            Action next = EnabledActions.of(cluster).get(0);
            ticks += next.kind() == ActionKind.TICK ? 1 : 0;
            cluster.apply(next);
        }
        assertTrue(isActiveLeader(successor), "the successor is not the active leader");
        assertEquals(0, ticks, "clock ticks until the successor is the active leader");
    }

    private boolean isActiveLeader(String node) {
        return cluster.node(node).replica().isActiveLeader();
    }

    /** Advances the clock until a message that matches has been sent. */
    private void runUntilSent(Predicate<Object> matches) throws InvariantViolationException {
        for (int tick = 0; tick < MAX_TICKS; tick++) {
            cluster.apply(Action.tick(ModelCluster.TICK.toMillis()));
            if (cluster.network().messages().stream().anyMatch(message -> matches.test(message.body()))) {
                return;
            }
        }
        throw new IllegalStateException("no matching message was sent");
    }

    private void deliver(String to, Predicate<Object> matches) throws InvariantViolationException {
        ModelNetwork.Message first = cluster.network().messages().stream()
                .filter(message -> message.to().equals(to) && matches.test(message.body()))
                .findFirst()
                .orElseThrow();
        cluster.apply(Action.message(ActionKind.DELIVER, first.id()));
    }
}
