package org.woadvale.common.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The leader's work in one term. Entered by {@link #onElected} and left by {@link #onDeposed}; in between it appends
 * and replicates entries, advances the commit index, renews its lease and changes the members of the group.
 */
final class Leader implements ReplicaStorage.LogRetention {
    private static final Logger LOG = LogManager.getLogger(Leader.class);

    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final ReplicaStorage storage;
    private final Followers followers;
    private final LeaderLease lease;
    private final DepartingMembers departingMembers = new DepartingMembers();
    private long firstIndexOfTerm;
    /** The entry that changes the members and is not known to be committed; zero for none. */
    private long membershipChangeIndex;

    Leader(ReplicaState state, CommitTracker<?, ?> commits, ReplicaStorage storage, VoteStore votes) {
        this.state = state;
        this.commits = commits;
        this.storage = storage;
        this.followers =
                new Followers(node -> new LogAppender(state, commits, storage, votes, this::advanceCommit, node));
        this.lease = new LeaderLease(state, followers);
    }

    /** Appends an entry of the new term: only with it entries of earlier terms are committed. */
    void onElected() {
        followers.clear();
        departingMembers.clear();
        lease.begin();
        firstIndexOfTerm = state.log().lastIndex() + 1;
        if (state.membership().isChanging()) {
            membershipChangeIndex = firstIndexOfTerm;
            append(new LogEntry(state.term(), LogEntry.Kind.NO_OP, new byte[0]));
        } else {
            membershipChangeIndex = 0;
            appendMembers(state.membership().committed());
        }
    }

    void onDeposed() {
        followers.clear();
        departingMembers.clear();
    }

    Map<String, Duration> followerContacts() {
        return followers.contacts();
    }

    LeaderLease lease() {
        return lease;
    }

    boolean leaseRunning() {
        return lease.isRunning();
    }

    /** The lease runs and an entry of the own term is committed: reads and effects are allowed right now. */
    boolean isActive() {
        return lease.isRunning() && commits.commitIndex() >= firstIndexOfTerm;
    }

    /** Adds an entry to the log, here and on all followers. */
    void append(LogEntry entry) {
        storage.append(List.of(entry), this::advanceCommit);
        followerNodes().forEach(node -> followers.appender(node).sendEntries());
    }

    private void appendMembers(Map<String, String> members) {
        byte[] bytes = state.environment().codec().write(members);
        append(new LogEntry(state.term(), LogEntry.Kind.MEMBERSHIP, bytes));
    }

    @Override
    public long firstIndexNeeded(long otherwise) {
        return followers.appenders().stream()
                .flatMap(appender -> appender.firstIndexNeeded().stream())
                .mapToLong(Long::longValue)
                .reduce(otherwise, Math::min);
    }

    /** The group, those that are to join it, and those that do not know yet that they have left it. */
    private Set<String> followerNodes() {
        Set<String> nodes = new TreeSet<>(state.membership().membersExcept(state.self()));
        state.desiredMembers().stream()
                .filter(node -> !node.equals(state.self()))
                .forEach(nodes::add);
        Duration oldest = state.now().minus(state.timing().lease());
        nodes.addAll(departingMembers.notNotified(followers, oldest));
        return nodes;
    }

    /** Committed is what a majority has synced, from the first entry of the own term on. */
    private void advanceCommit() {
        if (!state.isLeader()) {
            return;
        }
        List<Long> candidates = new ArrayList<>(followers.appenders().stream()
                .map(appender -> appender.progress().matchIndex())
                .toList());
        candidates.add(storage.syncedIndex());
        candidates.sort(Comparator.reverseOrder());
        for (long index : candidates) {
            if (index >= firstIndexOfTerm && isSyncedByMajority(index)) {
                commits.advanceTo(index);
                confirmMembershipChange();
                return;
            }
        }
    }

    private boolean isSyncedByMajority(long index) {
        Map<String, String> synced = followers.identitiesWhere(progress -> progress.matchIndex() >= index);
        if (storage.syncedIndex() >= index) {
            synced.put(state.self(), state.identity());
        }
        return state.membership().hasMajority(synced);
    }

    /** A committed change is appended again: whoever holds that entry knows of the commit, also after a restart. */
    private void confirmMembershipChange() {
        if (membershipChangeIndex == 0 || commits.commitIndex() < membershipChangeIndex) {
            return;
        }
        membershipChangeIndex = 0;
        Map<String, String> members = state.membership().committed();
        Set<String> staying = new TreeSet<>(members.keySet());
        staying.addAll(state.desiredMembers());
        long confirmedIndex = state.log().lastIndex() + 1;
        departingMembers.addAllExcept(staying, followers.nodes(), confirmedIndex, state.now());
        appendMembers(members);
    }

    /** No change is under way, and each other member was brought up to date under the identity that counts. */
    boolean isStable() {
        return !state.membership().isChanging()
                && state.membership().committed().entrySet().stream()
                        .allMatch(member -> member.getKey().equals(state.self()) || isUpToDate(member));
    }

    private boolean isUpToDate(Map.Entry<String, String> member) {
        return followers
                .progress(member.getKey())
                .filter(progress -> progress.isUpToDateUnder(member.getValue()))
                .isPresent();
    }

    /**
     * Sends heartbeats, and leaves the role if the replica is no member or has been without a majority for too long.
     */
    void onTick() {
        Set<String> nodes = followerNodes();
        followers.retain(nodes);
        nodes.forEach(node -> followers.appender(node).onTick());
        GroupMembership membership = state.membership();
        if (!membership.latest().containsKey(state.self()) && !membership.isChanging()) {
            leaveGroup();
        } else if (isWithoutMajority()) {
            state.transitionTo(Role.FOLLOWER, "the lease expired");
        } else if (isActive() && !membership.isChanging()) {
            changeMembership();
        }
    }

    private boolean isWithoutMajority() {
        Duration lapse = state.timing().lease();
        return state.now().compareTo(lease.end().plus(lapse)) > 0
                && state.now().compareTo(followers.replicatingSince().plus(lapse)) > 0;
    }

    /** Removed from its group: another member takes over at once, or the others elect one. */
    private void leaveGroup() {
        boolean transferred = lease.isRelinquished()
                || successor().map(this::transferLeadership).orElse(false);
        if (!transferred) {
            state.transitionTo(Role.FOLLOWER, "no longer a member");
        }
    }

    /** One change at a time. */
    private void changeMembership() {
        MembershipChange.next(state.membership().committed(), state.desiredMembers(), followers.progress())
                .ifPresent(change -> {
                    LOG.info("Partition {} adds {} to its members.", state.partition(), change.joining());
                    membershipChangeIndex = state.log().lastIndex() + 1;
                    appendMembers(change.members());
                });
    }

    /** The member that would lead next: up to date, electable, and the first of those by preference. */
    Optional<String> successor() {
        Map<String, String> members = state.membership().committed();
        List<String> preference = state.desiredMembers();
        return followers.progress().entrySet().stream()
                .filter(follower -> follower.getValue().identity().equals(members.get(follower.getKey())))
                .filter(follower -> follower.getValue().isElectable()
                        && follower.getValue().matchIndex() >= state.log().lastIndex())
                .map(Map.Entry::getKey)
                .min(Comparator.comparingInt(
                        node -> preference.contains(node) ? preference.indexOf(node) : Integer.MAX_VALUE));
    }

    /** Gives up the lease first; only then may the successor start its election. False if it is not up to date. */
    boolean transferLeadership(String successor) {
        boolean upToDate = followers
                .progress(successor)
                .filter(progress -> progress.matchIndex() >= state.log().lastIndex())
                .isPresent();
        if (!upToDate || !isActive() || state.membership().isChanging()) {
            return false;
        }
        lease.relinquish();
        long term = state.term();
        NodeEnvironment environment = state.environment();
        Duration timeout = state.timing().requestTimeout();
        ReplicationMessages.StartElectionRequest request =
                new ReplicationMessages.StartElectionRequest(state.partition(), term);
        state.shard()
                .afterUnlock(() -> environment
                        .rpc()
                        .call(successor, request, ReplicationMessages.Acknowledgement.class, timeout)
                        .subscribe(acknowledgement -> {}, e -> {}));
        environment.timers().after(timeout, () -> state.shard().run(() -> onTransferTimeout(term)));
        return true;
    }

    private void onTransferTimeout(long term) {
        if (state.isLeader() && state.term() == term) {
            state.transitionTo(Role.FOLLOWER, "leadership transferred");
        }
    }
}
