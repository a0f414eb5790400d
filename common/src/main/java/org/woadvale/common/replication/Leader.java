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
 * The leader role for one term. Between {@link #onElected} and {@link #onDeposed} it appends and replicates entries,
 * advances the commit index, renews its lease and changes the members of the group.
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
    /** Index of the membership entry that is not known to be committed; zero for none. */
    private long membershipChangeIndex;

    Leader(ReplicaState state, CommitTracker<?, ?> commits, ReplicaStorage storage, VoteStore votes) {
        this.state = state;
        this.commits = commits;
        this.storage = storage;
        this.followers =
                new Followers(node -> new LogAppender(state, commits, storage, votes, this::advanceCommit, node));
        this.lease = new LeaderLease(state, followers);
    }

    /** Appends an entry of the new term: entries of earlier terms are committed only along with it. */
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

    /**
     * Whether the lease is running and an entry of the current term is committed, so that reads and side effects are
     * allowed.
     */
    boolean isActive() {
        return lease.isRunning() && commits.commitIndex() >= firstIndexOfTerm;
    }

    /** Appends an entry to the local log and sends it to all followers. */
    void append(LogEntry entry) {
        storage.append(List.of(entry), this::advanceCommit);
        followerNodes().forEach(node -> followers.appender(node).sendEntries());
    }

    private void appendMembers(Map<String, String> members) {
        byte[] bytes = state.environment().codec().write(members);
        append(new LogEntry(state.term(), LogEntry.Kind.MEMBERSHIP, bytes));
    }

    @Override
    public long firstIndexNeeded(long defaultIndex) {
        return followers.appenders().stream()
                .flatMap(appender -> appender.firstIndexNeeded().stream())
                .mapToLong(Long::longValue)
                .reduce(defaultIndex, Math::min);
    }

    /** The members of the group, the nodes that are to join it, and removed members that are not notified yet. */
    private Set<String> followerNodes() {
        Set<String> nodes = new TreeSet<>(state.membership().membersExcept(state.self()));
        state.desiredMembers().stream()
                .filter(node -> !node.equals(state.self()))
                .forEach(nodes::add);
        Duration oldest = state.now().minus(state.timing().lease());
        nodes.addAll(departingMembers.notNotified(followers, oldest));
        return nodes;
    }

    /** Commits the highest index of the current term that a majority has synced. */
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

    /**
     * Appends the members of a committed change again: a replica that has this second entry knows that the change is
     * committed, even after a restart.
     */
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

    /**
     * Whether no membership change is in progress and every other member has caught up under its committed identity.
     */
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
     * Sends heartbeats; steps down if this replica is no longer a member or has been without a majority for too long.
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
        Duration leaseDuration = state.timing().lease();
        return state.now().compareTo(lease.end().plus(leaseDuration)) > 0
                && state.now().compareTo(followers.replicatingSince().plus(leaseDuration)) > 0;
    }

    /**
     * Steps down after the removal from the group: transfers leadership if possible, otherwise the other members elect
     * a leader.
     */
    private void leaveGroup() {
        boolean transferred = lease.isRelinquished()
                || successor().map(this::transferLeadership).orElse(false);
        if (!transferred) {
            state.transitionTo(Role.FOLLOWER, "no longer a member");
        }
    }

    /** Starts the next membership change; called only while none is in progress. */
    private void changeMembership() {
        MembershipChange.next(state.membership().committed(), state.desiredMembers(), followers.progress())
                .ifPresent(change -> {
                    LOG.info("Partition {} adds {} to its members.", state.partition(), change.joining());
                    membershipChangeIndex = state.log().lastIndex() + 1;
                    appendMembers(change.members());
                });
    }

    /** The preferred successor: the first member in order of preference that is up to date and electable. */
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

    /**
     * Relinquishes the lease before the successor may start its election. Returns false if the successor is not up to
     * date or this replica cannot transfer leadership now.
     */
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
