package org.woadvale.common.replication;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Who sits in the group, by address and identity; a change in flight needs both majorities: design 5.6. */
final class GroupMembership {
    private record Change(long index, Map<String, String> seats) {}

    private Map<String, String> committed = new TreeMap<>();
    private Optional<Change> change = Optional.empty();

    Map<String, String> committed() {
        return committed;
    }

    Map<String, String> latest() {
        return change.map(Change::seats).orElse(committed);
    }

    boolean changing() {
        return change.isPresent();
    }

    Set<String> members() {
        Set<String> all = new TreeSet<>(committed.keySet());
        change.ifPresent(c -> all.addAll(c.seats().keySet()));
        return all;
    }

    void reset(Map<String, String> seats) {
        committed = new TreeMap<>(seats);
        change = Optional.empty();
    }

    /** An owner starts a change only after the former one was committed. */
    void appended(long index, Map<String, String> seats) {
        change.ifPresent(c -> committed = c.seats());
        change = Optional.of(new Change(index, new TreeMap<>(seats)));
    }

    void cutFrom(long index) {
        if (change.isPresent() && change.get().index() >= index) {
            change = Optional.empty();
        }
    }

    void committedTo(long index) {
        if (change.isPresent() && change.get().index() <= index) {
            committed = change.get().seats();
            change = Optional.empty();
        }
    }

    boolean majority(Map<String, String> agreeing) {
        return majority(committed, agreeing)
                && (change.isEmpty() || majority(change.get().seats(), agreeing));
    }

    private static boolean majority(Map<String, String> seats, Map<String, String> agreeing) {
        long n = seats.entrySet().stream()
                .filter(e -> e.getValue().equals(agreeing.get(e.getKey())))
                .count();
        return !seats.isEmpty() && n * 2 > seats.size();
    }
}
