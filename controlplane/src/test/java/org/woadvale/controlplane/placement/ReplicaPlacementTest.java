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

/** The choice of the stores of each partition by the fault tolerance, on a clock that the test advances. */
class ReplicaPlacementTest {
    private static final Duration STEP = Duration.ofSeconds(1);

    private final Map<String, MemberLease> stores = new HashMap<>();
    private ReplicaPlacement placement = new ReplicaPlacement(FaultTolerance.machines(2));
    private Map<String, List<String>> placed = Map.of();
    private Duration now = Duration.ofSeconds(100);
    private boolean bootstrapped = true;

    private void store(String name, String zone) {
        stores.put(name, new MemberLease(zone, "", "1", List.of()));
    }

    private void stores(int count, String... zones) {
        for (int i = 0; i < count; i++) {
            store("s" + i, zones[i % zones.length]);
        }
    }

    /** Once bootstrapped, the groups have the members of the placement; the first serving store reports them all. */
    private ServiceView view() {
        Map<String, MemberLease> members = new HashMap<>(stores);
        if (bootstrapped && !stores.isEmpty()) {
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

    /** Guards against groups of three regardless of the fault tolerance (review/2). */
    @Test
    void groupSizeFollowsTheFaultTolerance() {
        stores(6, "x", "y", "z");
        run(5);
        assertEquals(ServiceNames.messagePartitions().size(), placed.size());
        assertEquals(new TreeSet<>(List.of(5)), sizes());
    }

    @Test
    void groupsHaveThreeReplicasIfOneLossIsTolerated() {
        placement = new ReplicaPlacement(FaultTolerance.ONE_MACHINE);
        stores(6, "x", "y", "z");
        run(30);
        assertEquals(new TreeSet<>(List.of(3)), sizes());
    }

    /** With three zones, no zone has more than two of five replicas: the loss of one zone leaves a majority. */
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
    void groupsThatAreNotBootstrappedDropALostStore() {
        bootstrapped = false;
        stores(5, "x", "y", "z");
        run(5);
        stores.remove("s2");
        run(9);
        assertEquals(new TreeSet<>(List.of(5)), sizes(), "the store may still return");
        run(5);
        assertEquals(new TreeSet<>(List.of(4)), sizes());
        assertTrue(placed.values().stream().noneMatch(replicas -> replicas.contains("s2")));
        store("s2", "z");
        run(2);
        assertEquals(new TreeSet<>(List.of(5)), sizes());
    }

    /** A bootstrapped group keeps a lost store until another can replace it. */
    @Test
    void bootstrappedGroupsKeepTheirSize() {
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
