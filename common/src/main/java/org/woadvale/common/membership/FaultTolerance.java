package org.woadvale.common.membership;

import jakarta.validation.constraints.Min;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * What may be lost at the same time, disks included, without the loss of anything acknowledged: so many machines, or
 * so many zones, or so many regions. The size of each replicated group follows from it, and how the members of a group
 * are spread.
 *
 * @param machines machines that may be lost at once; 0 counts as 1
 * @param zones zones that may be lost at once, with all machines in them
 * @param regions regions that may be lost at once, with all zones in them
 * @param regionOfZone the region of each zone; a zone that is not named is in a region of its own
 */
public record FaultTolerance(
        @Min(0) int machines, @Min(0) int zones, @Min(0) int regions, Map<String, String> regionOfZone) {
    /** The smallest group that goes on without any one of its members. */
    public static final int SMALLEST_GROUP = 3;

    /** One machine may be lost, wherever it is. */
    public static final FaultTolerance ONE_MACHINE = machines(1);

    /** Without regions where none are given. */
    public FaultTolerance {
        regionOfZone = regionOfZone == null ? Map.of() : Map.copyOf(regionOfZone);
    }

    /** So many machines may be lost, wherever they are. */
    public static FaultTolerance machines(int machines) {
        return new FaultTolerance(machines, 0, 0, Map.of());
    }

    /** The members that a group needs: what may be lost at once is always less than half of them. */
    public int groupSize() {
        int losses = Math.max(machines, Math.max(zones, regions));
        return Math.max(SMALLEST_GROUP, 2 * losses + 1);
    }

    /**
     * The members that a group can have where so many machines may hold one: the size that it needs, or the largest odd
     * number that is there. An even number would bear no more losses than the odd one before it.
     */
    public int attainableGroupSize(int availableMachines) {
        int largestOdd = availableMachines % 2 == 0 ? availableMachines - 1 : availableMachines;
        return Math.min(groupSize(), largestOdd);
    }

    /** Orders zones for one more member: those first that lose least with it, given the zones of the other members. */
    public Comparator<String> byLeastUsedZone(Collection<String> used) {
        Comparator<String> byZone = Comparator.comparingLong(zone -> count(used, zone::equals));
        if (regions == 0) {
            return byZone;
        }
        Comparator<String> byRegion = Comparator.comparingLong(
                zone -> count(used, other -> region(other).equals(region(zone))));
        return byRegion.thenComparing(byZone);
    }

    private static long count(Collection<String> zones, Predicate<String> counted) {
        return zones.stream().filter(counted).count();
    }

    private String region(String zone) {
        return regionOfZone.getOrDefault(zone, zone);
    }

    /** Whether members in these zones are spread at least as well as members in those before. */
    public boolean isAtLeastAsSpread(Collection<String> before, Collection<String> after) {
        boolean zonesAsWell = isSpreadAsWell(before, after, zone -> zone);
        return zonesAsWell && (regions == 0 || isSpreadAsWell(before, after, this::region));
    }

    /** In no fewer places, and not with more members in the places that have most. */
    private static boolean isSpreadAsWell(
            Collection<String> before, Collection<String> after, Function<String, String> place) {
        List<Long> countsBefore = countsByPlace(before, place);
        List<Long> countsAfter = countsByPlace(after, place);
        return countsAfter.size() >= countsBefore.size() && countsAfter.get(0) <= countsBefore.get(0);
    }

    /** How many members each place has, the largest number first. */
    private static List<Long> countsByPlace(Collection<String> zones, Function<String, String> place) {
        Map<String, Long> counts = zones.stream().collect(Collectors.groupingBy(place, Collectors.counting()));
        List<Long> sorted = new ArrayList<>(counts.values());
        sorted.sort(Comparator.reverseOrder());
        return sorted;
    }
}
