package org.woadvale.testkit.explore;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.LogEntry;
import org.woadvale.common.replication.ReplicaProbe;
import org.woadvale.common.rpc.Codec;

/** Every entry that any replica has ever considered committed, and the current group according to these entries. */
final class CommittedLog {
    /** A committed entry, and the term of the replica that first considered it committed. */
    record Committed(long term, LogEntry.Kind kind, int content, long committedInTerm) {
        boolean matches(LogEntry entry) {
            return term == entry.term() && kind == entry.kind() && content == Arrays.hashCode(entry.bytes());
        }
    }

    private final Codec codec;
    private final DurableRecords durable;
    private final TreeMap<Long, Committed> entries = new TreeMap<>();
    private final Map<String, Long> verifiedIndex = new HashMap<>();
    private Map<String, String> initialMembers = Map.of();
    private Map<String, String> group = Map.of();

    CommittedLog(Codec codec, DurableRecords durable) {
        this.codec = codec;
        this.durable = durable;
    }

    /** Compares the committed entries of a replica with those seen before, and records new ones. */
    void observe(ModelNode node, ReplicaProbe.Snapshot state) throws InvariantViolationException {
        observeInitialMembers(node, state);
        String incarnation = node.name() + node.incarnation();
        long from = Math.max(verifiedIndex.getOrDefault(incarnation, 0L), state.baseIndex());
        for (long index = from + 1; index <= state.commitIndex() && state.contains(index); index++) {
            observe(node, index, state.entry(index), state.term());
        }
        verifiedIndex.put(incarnation, state.commitIndex());
    }

    private void observeInitialMembers(ModelNode node, ReplicaProbe.Snapshot state) throws InvariantViolationException {
        boolean justBootstrapped = state.commitIndex() == 0
                && state.baseIndex() == 0
                && state.log().stream().noneMatch(entry -> entry.kind() == LogEntry.Kind.MEMBERSHIP);
        if (!justBootstrapped || state.members().isEmpty()) {
            return;
        }
        if (initialMembers.isEmpty()) {
            initialMembers = state.members();
            group = initialMembers;
        } else if (!state.members().equals(initialMembers)) {
            throw new InvariantViolationException(
                    Invariant.GROUPS_INTERSECT,
                    node.name() + " bootstrapped " + state.members() + " although the group was bootstrapped as "
                            + initialMembers);
        }
    }

    private void observe(ModelNode node, long index, LogEntry entry, long term) throws InvariantViolationException {
        Optional<Committed> previous = Optional.ofNullable(entries.get(index));
        if (previous.isPresent()) {
            if (!previous.get().matches(entry)) {
                throw new InvariantViolationException(
                        Invariant.COMMITTED_ENTRIES_STAY,
                        node.name() + " has a different committed entry at index " + index);
            }
            return;
        }
        entries.put(index, new Committed(entry.term(), entry.kind(), Arrays.hashCode(entry.bytes()), term));
        checkMajority(index, entry, group);
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            applyMembership(index, entry);
        }
    }

    private void applyMembership(long index, LogEntry entry) throws InvariantViolationException {
        Map<String, String> members = members(entry);
        checkMajority(index, entry, members);
        Set<Map.Entry<String, String>> common = new HashSet<>(members.entrySet());
        common.retainAll(group.entrySet());
        if (common.size() * 2 <= Math.max(group.size(), members.size())) {
            throw new InvariantViolationException(
                    Invariant.GROUPS_INTERSECT, group + " was replaced without an overlapping majority by " + members);
        }
        group = members;
    }

    private void checkMajority(long index, LogEntry entry, Map<String, String> members)
            throws InvariantViolationException {
        long holders = members.values().stream()
                .filter(identity -> durable.isDurable(identity, index, entry.term()))
                .count();
        if (holders * 2 <= members.size()) {
            throw new InvariantViolationException(
                    Invariant.COMMITTED_ON_A_MAJORITY,
                    "entry " + index + " is committed but durable on only " + holders + " of " + members
                            + ", which is not a majority");
        }
    }

    private Map<String, String> members(LogEntry entry) {
        try {
            Map<String, String> members = new TreeMap<>();
            Map<?, ?> stored = codec.read(entry.bytes(), Map.class);
            stored.forEach((name, identity) -> members.put((String) name, (String) identity));
            return members;
        } catch (ServiceException failure) {
            throw new IllegalStateException("cannot decode membership entry", failure);
        }
    }

    /** A leader must hold every entry that was committed in an earlier term or in its own. */
    void checkLeader(ModelNode node, ReplicaProbe.Snapshot leader) throws InvariantViolationException {
        for (Map.Entry<Long, Committed> committed : entries.entrySet()) {
            long index = committed.getKey();
            boolean required = committed.getValue().committedInTerm() <= leader.term() && index > leader.baseIndex();
            boolean present = leader.contains(index) && committed.getValue().matches(leader.entry(index));
            if (required && !present) {
                throw new InvariantViolationException(
                        Invariant.COMMITTED_ENTRIES_STAY,
                        node.name() + " leads term " + leader.term() + " but lacks committed entry " + index);
            }
        }
    }

    /** At most one membership entry of a log may be uncommitted. */
    void checkUncommittedMembership(ModelNode node, ReplicaProbe.Snapshot state) throws InvariantViolationException {
        long uncommitted = 0;
        for (long index = Math.max(lastIndex(), state.baseIndex()) + 1; index <= state.lastIndex(); index++) {
            uncommitted += state.entry(index).kind() == LogEntry.Kind.MEMBERSHIP ? 1 : 0;
        }
        if (uncommitted > 1) {
            throw new InvariantViolationException(
                    Invariant.ONE_CHANGE_AT_A_TIME,
                    node.name() + " has " + uncommitted + " uncommitted membership entries");
        }
    }

    long lastIndex() {
        return entries.isEmpty() ? 0 : entries.lastKey();
    }

    /** The members (node to identity) set by the latest committed membership entry, or at bootstrap. */
    Map<String, String> group() {
        return group;
    }

    Map<Long, Committed> entries() {
        return entries;
    }
}
