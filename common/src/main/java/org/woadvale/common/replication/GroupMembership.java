package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The members of a group, node to identity. While a change is uncommitted, a majority means one of the old members and
 * one of the new members.
 */
final class GroupMembership {
    private record Change(long index, Map<String, String> members) {}

    private Map<String, String> committed = new TreeMap<>();
    private Optional<Change> change = Optional.empty();

    Map<String, String> committed() {
        return committed;
    }

    Map<String, String> latest() {
        return change.map(Change::members).orElse(committed);
    }

    boolean isChanging() {
        return change.isPresent();
    }

    Set<String> members() {
        Set<String> all = new TreeSet<>(committed.keySet());
        change.ifPresent(change -> all.addAll(change.members().keySet()));
        return all;
    }

    List<String> membersExcept(String node) {
        return members().stream().filter(member -> !member.equals(node)).toList();
    }

    void reset(Map<String, String> members) {
        committed = new TreeMap<>(members);
        change = Optional.empty();
    }

    /** Sets the group's initial members, even if a change of them has already been received from its leader. */
    void setInitialMembers(Map<String, String> members) {
        committed = new TreeMap<>(members);
    }

    /**
     * Records a change as pending. A leader starts one only after the previous change was committed, so the previous
     * change is adopted as committed here.
     */
    void onAppended(long index, Map<String, String> members) {
        change.ifPresent(change -> committed = change.members());
        change = Optional.of(new Change(index, new TreeMap<>(members)));
    }

    void truncateFrom(long index) {
        if (change.isPresent() && change.get().index() >= index) {
            change = Optional.empty();
        }
    }

    void onCommitted(long index) {
        if (change.isPresent() && change.get().index() <= index) {
            committed = change.get().members();
            change = Optional.empty();
        }
    }

    boolean hasMajority(Map<String, String> agreeing) {
        return hasMajority(committed, agreeing)
                && (change.isEmpty() || hasMajority(change.get().members(), agreeing));
    }

    private static boolean hasMajority(Map<String, String> members, Map<String, String> agreeing) {
        long agreeingMembers = members.entrySet().stream()
                .filter(entry -> entry.getValue().equals(agreeing.get(entry.getKey())))
                .count();
        return !members.isEmpty() && agreeingMembers * 2 > members.size();
    }
}
