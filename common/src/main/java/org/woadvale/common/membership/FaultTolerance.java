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
 * The failures that must be tolerated at the same time, including the loss of disks, without losing acknowledged data:
 * a number of machines, of zones or of regions. Determines the size of each replicated group and how its members are
 * spread.
 *
 * @param machines machines that may be lost at once; 0 counts as 1
 * @param zones zones that may be lost at once, with all machines in them
 * @param regions regions that may be lost at once, with all zones in them
 * @param regionOfZone the region of each zone; a zone without an entry is a region of its own
 */
public record FaultTolerance(
        @Min(0) int machines, @Min(0) int zones, @Min(0) int regions, Map<String, String> regionOfZone) {
    /** The smallest group that stays available after the loss of any one member. */
    public static final int SMALLEST_GROUP = 3;

    /** Tolerates the loss of any one machine. */
    public static final FaultTolerance ONE_MACHINE = machines(1);

    /** Treats a missing map of regions as empty. */
    public FaultTolerance {
        regionOfZone = regionOfZone == null ? Map.of() : Map.copyOf(regionOfZone);
    }

    /** Tolerates the loss of any {@code machines} machines. */
    public static FaultTolerance machines(int machines) {
        return new FaultTolerance(machines, 0, 0, Map.of());
    }

    /** The required group size: the tolerated losses are always less than half of the members. */
    public int groupSize() {
        int losses = Math.max(machines, Math.max(zones, regions));
        return Math.max(SMALLEST_GROUP, 2 * losses + 1);
    }

    /**
     * The group size that the available machines allow: the required size, or the largest odd number of machines if
     * that is smaller. An even size would tolerate no more losses than the next smaller odd one.
     */
    public int attainableGroupSize(int availableMachines) {
        int largestOdd = availableMachines % 2 == 0 ? availableMachines - 1 : availableMachines;
        return Math.min(groupSize(), largestOdd);
    }

    /**
     * Orders zones for an additional member, given the zones of the other members: first those whose region has the
     * fewest members, if the loss of regions is tolerated, then those that have the fewest themselves.
     */
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

    /** Whether members in the zones {@code after} are spread at least as well as in the zones {@code before}. */
    public boolean isAtLeastAsSpread(Collection<String> before, Collection<String> after) {
        boolean zonesAsWell = isAtLeastAsSpread(before, after, zone -> zone);
        return zonesAsWell && (regions == 0 || isAtLeastAsSpread(before, after, this::region));
    }

    /** Whether the members cover no fewer places and the fullest place has no more members. */
    private static boolean isAtLeastAsSpread(
            Collection<String> before, Collection<String> after, Function<String, String> place) {
        List<Long> countsBefore = countsByPlace(before, place);
        List<Long> countsAfter = countsByPlace(after, place);
        return countsAfter.size() >= countsBefore.size() && countsAfter.get(0) <= countsBefore.get(0);
    }

    /** The number of members in each place, in descending order. */
    private static List<Long> countsByPlace(Collection<String> zones, Function<String, String> place) {
        Map<String, Long> counts = zones.stream().collect(Collectors.groupingBy(place, Collectors.counting()));
        List<Long> sorted = new ArrayList<>(counts.values());
        sorted.sort(Comparator.reverseOrder());
        return sorted;
    }
}
