package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesRequest;
import org.woadvale.common.replication.ReplicationMessages.StartElectionRequest;
import org.woadvale.common.replication.Role;

/** A heartbeat that the former leader had sent arrives after it has asked its successor to stand. */
@ExtendWith(QuietEngine.class)
class LateHeartbeatTest {
    private static final int CALM_STEPS = 200;
    private static final int MOST_TICKS = 20;
    private final ModelCluster cluster = new ModelCluster(ModelSettings.of(3));

    /** Guards against a partition without a leader until leases have run out: the heartbeat ended the candidacy. */
    @Test
    void aTransferredLeadershipIsNotLostToALateHeartbeat() throws BrokenInvariant {
        for (Action action : StartState.LED.actions(ModelSettings.of(3))) {
            cluster.apply(action);
        }
        ModelNode leader = cluster.actingLeader().orElseThrow();
        runUntilSent(body -> body instanceof AppendEntriesRequest request
                && request.entries().isEmpty());
        String successor = leader.replica().successor().orElseThrow();
        cluster.apply(Action.of(ActionKind.TRANSFER, leader.name()));
        deliver(successor, body -> body instanceof StartElectionRequest);
        deliver(successor, body -> body instanceof AppendEntriesRequest);
        assertEquals(Role.CANDIDATE, cluster.node(successor).replica().role());
        int ticks = 0;
        for (int step = 0; step < CALM_STEPS && !acts(successor); step++) {
            Action next = ActionMenu.of(cluster).get(0);
            ticks += next.kind() == ActionKind.TICK ? 1 : 0;
            cluster.apply(next);
        }
        assertTrue(acts(successor), "the successor does not lead");
        assertEquals(0, ticks, "ticks of the clock until the successor leads");
    }

    private boolean acts(String node) {
        return cluster.node(node).replica().isActiveLeader();
    }

    /** The calm course until such a message is under way to the successor. */
    private void runUntilSent(Predicate<Object> wanted) throws BrokenInvariant {
        for (int tick = 0; tick < MOST_TICKS; tick++) {
            cluster.apply(Action.tick(ModelCluster.UNIT.toMillis()));
            if (cluster.network().messages().stream().anyMatch(message -> wanted.test(message.body()))) {
                return;
            }
        }
        throw new IllegalStateException("nothing of that kind was sent");
    }

    private void deliver(String to, Predicate<Object> wanted) throws BrokenInvariant {
        ModelNetwork.Message first = cluster.network().messages().stream()
                .filter(message -> message.to().equals(to) && wanted.test(message.body()))
                .findFirst()
                .orElseThrow();
        cluster.apply(Action.message(ActionKind.DELIVER, first.id()));
    }
}
