package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against two groups being bootstrapped for one partition: the desired members change during the bootstrap, and
 * the nodes are notified at different times.
 */
@ExtendWith(EngineLoggingDisabled.class)
class BootstrapRaceTest {
    private static final Set<String> CONNECTED_PAIRS = Set.of("ab", "ba", "cd", "dc");
    private static final int ROUNDS = 12;
    private static final int MAX_DEFAULT_STEPS = 500;
    private final ModelCluster cluster = new ModelCluster(ModelSettings.of(3));

    @Test
    void concurrentProposersBootstrapOneGroup() {
        assertDoesNotThrow(() -> {
            prepareTwoProposals();
            deliver("a", "b");
            deliver("d", "c");
            syncAll();
            for (String name : List.of("a", "b", "c")) {
                cluster.apply(Action.of(ActionKind.LEARN_MEMBERS, name));
            }
            for (int round = 0; round < ROUNDS; round++) {
                runPartitionedRound();
            }
            for (int step = 0; step < MAX_DEFAULT_STEPS && cluster.clients().acknowledged() == 0; step++) {
                cluster.apply(EnabledActions.of(cluster).get(0));
            }
        });
        assertEquals(1, cluster.clients().acknowledged(), "the bootstrapped group acknowledges one command");
    }

    private void prepareTwoProposals() throws InvariantViolationException {
        syncAll();
        tick();
        deliver("a", "b");
        deliver("a", "c");
        syncAll();
        cluster.apply(Action.of(ActionKind.CHANGE_MEMBERS, "a"));
        cluster.apply(Action.of(ActionKind.LEARN_MEMBERS, "d"));
        tick();
        deliver("d", "b");
        deliver("d", "c");
        syncAll();
        for (String proposer : List.of("a", "d")) {
            deliver("b", proposer);
            deliver("c", proposer);
        }
    }

    /**
     * Delivers only messages within the pairs, and runs only the timers of a and d, so that these two are the first to
     * become candidates.
     */
    private void runPartitionedRound() throws InvariantViolationException {
        syncAll();
        while (deliverWithinPairs()) {
            syncAll();
        }
        for (String name : List.of("b", "c")) {
            cluster.apply(Action.of(ActionKind.FREEZE, name));
        }
        tick();
        for (String name : List.of("b", "c")) {
            cluster.apply(Action.of(ActionKind.THAW, name));
        }
    }

    private boolean deliverWithinPairs() throws InvariantViolationException {
        for (ModelNetwork.Message message : cluster.network().messages()) {
            if (CONNECTED_PAIRS.contains(message.from() + message.to())) {
                cluster.apply(Action.message(ActionKind.DELIVER, message.id()));
                return true;
            }
        }
        return false;
    }

    private void deliver(String from, String to) throws InvariantViolationException {
        ModelNetwork.Message first = cluster.network().messages().stream()
                .filter(message -> message.from().equals(from) && message.to().equals(to))
                .findFirst()
                .orElseThrow();
        cluster.apply(Action.message(ActionKind.DELIVER, first.id()));
    }

    private void tick() throws InvariantViolationException {
        cluster.apply(Action.tick(ModelCluster.TICK.toMillis()));
    }

    private void syncAll() throws InvariantViolationException {
        for (ModelNode node : cluster.nodes()) {
            cluster.apply(Action.of(ActionKind.SYNC, node.name()));
        }
    }
}
