package org.woadvale.testkit.explore;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** The list of members changes while the group is founded, and the nodes hear of it at different times. */
@ExtendWith(QuietEngine.class)
class FoundingRaceTest {
    private static final Set<String> CONNECTED = Set.of("ab", "ba", "cd", "dc");
    private static final int ROUNDS = 12;
    private static final int CALM_STEPS = 500;
    private final ModelCluster cluster = new ModelCluster(ModelSettings.of(3));

    @Test
    void oneGroupIsFounded() {
        assertDoesNotThrow(() -> {
            bothFoundersCollectReports();
            deliver("a", "b");
            deliver("d", "c");
            syncAll();
            for (String name : List.of("a", "b", "c")) {
                cluster.apply(Action.of(ActionKind.LEARN_MEMBERS, name));
            }
            for (int round = 0; round < ROUNDS; round++) {
                onlyPairsHearEachOther();
            }
            for (int step = 0; step < CALM_STEPS && cluster.clients().acknowledged() == 0; step++) {
                cluster.apply(ActionMenu.of(cluster).get(0));
            }
        });
        assertEquals(1, cluster.clients().acknowledged(), "a command of the group that was founded in the end");
    }

    private void bothFoundersCollectReports() throws BrokenInvariant {
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
        for (String founder : List.of("a", "d")) {
            deliver("b", founder);
            deliver("c", founder);
        }
    }

    /** Only a and d look at their clocks, so that they stand first. */
    private void onlyPairsHearEachOther() throws BrokenInvariant {
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

    private boolean deliverWithinPairs() throws BrokenInvariant {
        for (ModelNetwork.Message message : cluster.network().messages()) {
            if (CONNECTED.contains(message.from() + message.to())) {
                cluster.apply(Action.message(ActionKind.DELIVER, message.id()));
                return true;
            }
        }
        return false;
    }

    private void deliver(String from, String to) throws BrokenInvariant {
        ModelNetwork.Message first = cluster.network().messages().stream()
                .filter(message -> message.from().equals(from) && message.to().equals(to))
                .findFirst()
                .orElseThrow();
        cluster.apply(Action.message(ActionKind.DELIVER, first.id()));
    }

    private void tick() throws BrokenInvariant {
        cluster.apply(Action.tick(ModelCluster.UNIT.toMillis()));
    }

    private void syncAll() throws BrokenInvariant {
        for (ModelNode node : cluster.nodes()) {
            cluster.apply(Action.of(ActionKind.SYNC, node.name()));
        }
    }
}
