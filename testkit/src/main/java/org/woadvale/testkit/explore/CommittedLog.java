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

/** All that any replica has ever held for committed, and the groups that these entries set. */
final class CommittedLog {
    /** A committed entry, and the term of the replica that was the first to hold it for committed. */
    record Committed(long term, LogEntry.Kind kind, int content, long committedInTerm) {
        boolean same(LogEntry entry) {
            return term == entry.term() && kind == entry.kind() && content == Arrays.hashCode(entry.bytes());
        }
    }

    private final Codec codec;
    private final DurableRecords durable;
    private final TreeMap<Long, Committed> entries = new TreeMap<>();
    private final Map<String, Long> verified = new HashMap<>();
    private Map<String, String> founders = Map.of();
    private Map<String, String> group = Map.of();

    CommittedLog(Codec codec, DurableRecords durable) {
        this.codec = codec;
        this.durable = durable;
    }

    /** Compares what a replica holds for committed with all others, and takes what is new. */
    void observe(ModelNode node, ReplicaProbe.Snapshot state) throws BrokenInvariant {
        observeFounders(node, state);
        String life = node.name() + node.life();
        long from = Math.max(verified.getOrDefault(life, 0L), state.baseIndex());
        for (long index = from + 1; index <= state.commitIndex() && state.contains(index); index++) {
            observe(node, index, state.entry(index), state.term());
        }
        verified.put(life, state.commitIndex());
    }

    private void observeFounders(ModelNode node, ReplicaProbe.Snapshot state) throws BrokenInvariant {
        boolean founding = state.commitIndex() == 0
                && state.baseIndex() == 0
                && state.log().stream().noneMatch(entry -> entry.kind() == LogEntry.Kind.MEMBERSHIP);
        if (!founding || state.members().isEmpty()) {
            return;
        }
        if (founders.isEmpty()) {
            founders = state.members();
            group = founders;
        } else if (!state.members().equals(founders)) {
            throw new BrokenInvariant(
                    Invariant.GROUPS_INTERSECT, node.name() + " founded " + state.members() + " beside " + founders);
        }
    }

    private void observe(ModelNode node, long index, LogEntry entry, long term) throws BrokenInvariant {
        Optional<Committed> known = Optional.ofNullable(entries.get(index));
        if (known.isPresent()) {
            if (!known.get().same(entry)) {
                throw new BrokenInvariant(
                        Invariant.COMMITTED_ENTRIES_STAY,
                        node.name() + " holds another entry for committed at " + index);
            }
            return;
        }
        entries.put(index, new Committed(entry.term(), entry.kind(), Arrays.hashCode(entry.bytes()), term));
        checkMajority(index, entry, group);
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            takeGroup(index, entry);
        }
    }

    private void takeGroup(long index, LogEntry entry) throws BrokenInvariant {
        Map<String, String> next = members(entry);
        checkMajority(index, entry, next);
        Set<Map.Entry<String, String>> common = new HashSet<>(next.entrySet());
        common.retainAll(group.entrySet());
        if (common.size() * 2 <= Math.max(group.size(), next.size())) {
            throw new BrokenInvariant(Invariant.GROUPS_INTERSECT, group + " was followed by " + next);
        }
        group = next;
    }

    private void checkMajority(long index, LogEntry entry, Map<String, String> members) throws BrokenInvariant {
        long holders = members.values().stream()
                .filter(identity -> durable.held(identity, index, entry.term()))
                .count();
        if (holders * 2 <= members.size()) {
            throw new BrokenInvariant(
                    Invariant.COMMITTED_ON_A_MAJORITY,
                    "entry " + index + " is committed with " + holders + " of " + members + " having it on disk");
        }
    }

    private Map<String, String> members(LogEntry entry) {
        try {
            Map<String, String> members = new TreeMap<>();
            Map<?, ?> stored = codec.read(entry.bytes(), Map.class);
            stored.forEach((name, identity) -> members.put((String) name, (String) identity));
            return members;
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable group", failure);
        }
    }

    /** A leader holds all that was committed before its term, and all that it committed itself. */
    void checkLeader(ModelNode node, ReplicaProbe.Snapshot leader) throws BrokenInvariant {
        for (Map.Entry<Long, Committed> committed : entries.entrySet()) {
            long index = committed.getKey();
            boolean concerned = committed.getValue().committedInTerm() <= leader.term() && index > leader.baseIndex();
            boolean held = leader.contains(index) && committed.getValue().same(leader.entry(index));
            if (concerned && !held) {
                throw new BrokenInvariant(
                        Invariant.COMMITTED_ENTRIES_STAY,
                        node.name() + " leads term " + leader.term() + " without committed entry " + index);
            }
        }
    }

    /** At most one membership entry of a log may be uncommitted. */
    void checkChanges(ModelNode node, ReplicaProbe.Snapshot state) throws BrokenInvariant {
        long open = 0;
        for (long index = Math.max(last(), state.baseIndex()) + 1; index <= state.lastIndex(); index++) {
            open += state.entry(index).kind() == LogEntry.Kind.MEMBERSHIP ? 1 : 0;
        }
        if (open > 1) {
            throw new BrokenInvariant(
                    Invariant.ONE_CHANGE_AT_A_TIME, node.name() + " has " + open + " uncommitted membership entries");
        }
    }

    long last() {
        return entries.isEmpty() ? 0 : entries.lastKey();
    }

    /** The group of the latest committed membership entry. */
    Map<String, String> group() {
        return group;
    }

    Map<Long, Committed> entries() {
        return entries;
    }
}
