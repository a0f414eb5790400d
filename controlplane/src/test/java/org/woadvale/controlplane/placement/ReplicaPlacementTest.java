package org.woadvale.controlplane.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.LedGroup;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;

/** Which stores hold a partition, by fault tolerance, on a clock that the test moves. */
class ReplicaPlacementTest {
    private static final Duration STEP = Duration.ofSeconds(1);

    private final Map<String, MemberLease> stores = new HashMap<>();
    private ReplicaPlacement placement = new ReplicaPlacement(FaultTolerance.machines(2));
    private Map<String, List<String>> placed = Map.of();
    private Duration now = Duration.ofSeconds(100);
    private boolean founded = true;

    private void store(String name, String zone) {
        stores.put(name, new MemberLease(zone, "", "1", List.of()));
    }

    private void stores(int count, String... zones) {
        for (int i = 0; i < count; i++) {
            store("s" + i, zones[i % zones.length]);
        }
    }

    /** The groups are as the placement has them, if they are founded; the first store that serves reports them all. */
    private ServiceView view() {
        Map<String, MemberLease> members = new HashMap<>(stores);
        if (founded && !stores.isEmpty()) {
            Map<String, LedGroup> groups = new HashMap<>();
            placed.forEach((partition, replicas) -> groups.put(partition, new LedGroup(1, replicas, true)));
            String reporter = new TreeSet<>(stores.keySet()).first();
            MemberLease lease = members.get(reporter);
            members.put(reporter, new MemberLease(lease.zone(), "", "1", List.of(), false, false, groups));
        }
        return ServiceView.empty(ServiceNames.STORES).withMembers(1, members).withPlacement(1, placed);
    }

    private void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            placed = new TreeMap<>(placement.next(view(), now));
            now = now.plus(STEP);
        }
    }

    private TreeSet<Integer> sizes() {
        return placed.values().stream().map(List::size).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Guards against groups of three whatever the fault tolerance says (review/2). */
    @Test
    void groupsHaveAsManyReplicasAsTheFaultToleranceAsksFor() {
        stores(6, "x", "y", "z");
        run(5);
        assertEquals(ServiceNames.messagePartitions().size(), placed.size());
        assertEquals(new TreeSet<>(List.of(5)), sizes());
    }

    @Test
    void fleetsThatBearOneLossKeepGroupsOfThree() {
        placement = new ReplicaPlacement(FaultTolerance.ONE_MACHINE);
        stores(6, "x", "y", "z");
        run(30);
        assertEquals(new TreeSet<>(List.of(3)), sizes());
    }

    /** No zone has more than two of five where there are three zones: the loss of one leaves a majority. */
    @Test
    void replicasAreSpreadOverZones() {
        stores(9, "x", "x", "x", "x", "x", "y", "y", "z", "z");
        run(5);
        placed.forEach((partition, replicas) -> {
            Map<String, Long> byZone = replicas.stream()
                    .collect(Collectors.groupingBy(name -> stores.get(name).zone(), Collectors.counting()));
            assertTrue(byZone.values().stream().allMatch(count -> count <= 2), partition + " " + byZone);
        });
    }

    @Test
    void smallFleetHasOddGroupsAndGrowsThemOneReplicaAtATime() {
        stores(4, "x", "y", "z");
        run(5);
        assertEquals(new TreeSet<>(List.of(3)), sizes());
        store("s4", "y");
        run(1);
        assertEquals(new TreeSet<>(List.of(4)), sizes());
        run(1);
        assertEquals(new TreeSet<>(List.of(5)), sizes());
        run(30);
        assertEquals(new TreeSet<>(List.of(5)), sizes());
    }

    @Test
    void unfoundedGroupsDoWithoutAStoreThatIsGone() {
        founded = false;
        stores(5, "x", "y", "z");
        run(5);
        stores.remove("s2");
        run(9);
        assertEquals(new TreeSet<>(List.of(5)), sizes(), "it may come back soon");
        run(5);
        assertEquals(new TreeSet<>(List.of(4)), sizes());
        assertTrue(placed.values().stream().noneMatch(replicas -> replicas.contains("s2")));
        store("s2", "z");
        run(2);
        assertEquals(new TreeSet<>(List.of(5)), sizes());
    }

    /** The list of a founded group keeps a store that is gone until another can take its place. */
    @Test
    void foundedGroupsKeepTheirSize() {
        stores(5, "x", "y", "z");
        run(5);
        stores.remove("s2");
        run(30);
        assertEquals(new TreeSet<>(List.of(5)), sizes());
        store("s5", "z");
        run(2);
        assertTrue(placed.values().stream().allMatch(replicas -> replicas.contains("s5") && !replicas.contains("s2")));
    }
}
