package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.LockedShard;

/**
 * What all roles of a replica share: its role, term, vote, identity, log and members, and which leader it follows.
 * Depends on nothing else of the engine; used on the replica's shard only.
 */
final class ReplicaState {
    /** Is notified after each change of role. */
    interface RoleListener {
        void onRoleChange(Role before, Role now);
    }

    private static final Logger LOG = LogManager.getLogger(ReplicaState.class);

    private final String partition;
    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final ReplicatedLog log = new ReplicatedLog();
    private final GroupMembership membership = new GroupMembership();
    private RoleListener roleListener = (before, now) -> {};

    private Role role = Role.UNINITIALIZED;
    private long term;
    private String votedFor = "";
    private String identity = "";
    private boolean voter;
    private String leaderId = "";
    private boolean electable = true;
    private boolean candidateByTransfer;
    private Duration leaderLeaseUntil;
    private List<String> desiredMembers;
    private BootstrapState bootstrap = BootstrapState.EMPTY;

    /** A lease that was confirmed before a restart may still run: until it has expired, no other node gets a vote. */
    ReplicaState(String partition, List<String> desiredMembers, NodeEnvironment environment) {
        this.partition = partition;
        this.desiredMembers = List.copyOf(desiredMembers);
        this.environment = environment;
        this.leaderLeaseUntil = now().plus(environment.timing().lease());
    }

    void onRoleChange(RoleListener listener) {
        roleListener = listener;
    }

    String partition() {
        return partition;
    }

    NodeEnvironment environment() {
        return environment;
    }

    ReplicationTiming timing() {
        return environment.timing();
    }

    /** The node that this replica is on. */
    String self() {
        return environment.self();
    }

    LockedShard shard() {
        return shard;
    }

    ReplicatedLog log() {
        return log;
    }

    GroupMembership membership() {
        return membership;
    }

    /** Monotonic time of this node. */
    Duration now() {
        return environment.clock().monotonicTime();
    }

    Role role() {
        return role;
    }

    boolean isLeader() {
        return role == Role.LEADER;
    }

    boolean isStopped() {
        return role == Role.STOPPED;
    }

    /** The one function for every change of role; nothing happens if the replica is in that role already. */
    void transitionTo(Role next, String reason) {
        if (role == next) {
            return;
        }
        if (!role.successors().contains(next)) {
            throw new IllegalStateException(partition + ": " + role + " to " + next);
        }
        Role before = role;
        role = next;
        candidateByTransfer = false;
        LOG.debug("Partition {} at {}: {} to {} in term {}, {}.", partition, self(), before, next, term, reason);
        roleListener.onRoleChange(before, next);
    }

    long term() {
        return term;
    }

    /** The node that has this replica's vote in its term, or that leads it; empty for none. */
    String votedFor() {
        return votedFor;
    }

    /** As read back from disk. */
    void restoreVote(long storedTerm, String storedVote) {
        term = storedTerm;
        votedFor = storedVote;
    }

    /** A later term, in which no vote is given and no leader is known yet. */
    void enterTerm(long laterTerm) {
        term = laterTerm;
        votedFor = "";
        leaderId = "";
    }

    /** Gives the vote of a term to a candidate, which may be this node. */
    void voteFor(long inTerm, String candidate) {
        term = inTerm;
        votedFor = candidate;
    }

    String identity() {
        return identity;
    }

    /** Whether this replica votes and counts, under its identity. */
    boolean isVoter() {
        return voter;
    }

    void setIdentity(String newIdentity, boolean countsAsVoter) {
        identity = newIdentity;
        voter = countsAsVoter;
    }

    void becomeVoter() {
        voter = true;
    }

    /** The leader that was heard last in this term; empty while none is known. */
    String leaderId() {
        return leaderId;
    }

    void forgetLeader() {
        leaderId = "";
    }

    /** This replica was elected. */
    void setSelfAsLeader() {
        leaderId = self();
    }

    /** A leader was heard just now: its lease may run as long from here on. */
    void follow(String leader) {
        leaderId = leader;
        leaderLeaseUntil = now().plus(timing().lease());
    }

    /** The leader of this term has given its lease up in this candidate's favour. */
    void becomeCandidateByTransfer() {
        candidateByTransfer = true;
    }

    /** Whether this replica stands in the term of a leader that wants it as its successor. */
    boolean isCandidateByTransfer() {
        return candidateByTransfer;
    }

    /** Until when, by this node's clock, the lease of a leader that was heard may run. */
    Duration leaderLeaseUntil() {
        return leaderLeaseUntil;
    }

    boolean leaderLeaseMayRun() {
        return now().compareTo(leaderLeaseUntil) < 0;
    }

    /** Nobody can hold a lease, since the group has just been bootstrapped. */
    void expireLeaderLease() {
        leaderLeaseUntil = now();
    }

    /** Whether this replica may succeed a leader; a draining one follows and votes, and is no successor. */
    boolean isElectable() {
        return electable;
    }

    void declineLeadership() {
        electable = false;
    }

    /** Who should be in the group, in the order of preference as leader. */
    List<String> desiredMembers() {
        return desiredMembers;
    }

    void setDesiredMembers(List<String> members) {
        desiredMembers = List.copyOf(members);
    }

    /** What was agreed so far on the first members of the group. */
    BootstrapState bootstrap() {
        return bootstrap;
    }

    void setBootstrap(BootstrapState next) {
        bootstrap = next;
    }

    /** Neither a log nor members: this replica may still agree on the first members of its group. */
    boolean canBootstrap() {
        return role == Role.UNINITIALIZED && membership.latest().isEmpty();
    }

    boolean isPreferredLeader() {
        return !desiredMembers.isEmpty() && desiredMembers.get(0).equals(self());
    }

    /** Adds an entry in memory; one of kind MEMBERSHIP is in effect from here on. */
    void appendInMemory(LogEntry entry) {
        log.append(entry);
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            membership.onAppended(log.lastIndex(), decodeMembers(entry));
        }
    }

    /** Drops the entries from an index on, and the change of members among them. */
    void truncateInMemory(long index) {
        log.truncateFrom(index);
        membership.truncateFrom(index);
    }

    private Map<String, String> decodeMembers(LogEntry entry) {
        try {
            Map<String, String> members = new TreeMap<>();
            environment
                    .codec()
                    .read(entry.bytes(), Map.class)
                    .forEach((node, memberIdentity) -> members.put((String) node, (String) memberIdentity));
            return members;
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable membership entry of " + partition, e);
        }
    }

    /** The leader, if one is known and it is another node. */
    Optional<String> otherLeader() {
        return leaderId.isEmpty() || leaderId.equals(self()) ? Optional.empty() : Optional.of(leaderId);
    }
}
