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
 * The state that all roles of a replica share: role, term, vote, identity, log, members, and the leader it follows. It
 * depends on no other component of the engine; use it on the replica's shard only.
 */
final class ReplicaState {
    /** Notified after each role change. */
    interface RoleListener {
        void onRoleChange(Role previous, Role current);
    }

    private static final Logger LOG = LogManager.getLogger(ReplicaState.class);

    private final String partition;
    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final ReplicatedLog log = new ReplicatedLog();
    private final GroupMembership membership = new GroupMembership();
    private RoleListener roleListener = (previous, current) -> {};

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

    /**
     * Assumes that a lease confirmed before a restart may still be running: no other node gets a vote until it has
     * expired.
     */
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

    /** The name of the node that hosts this replica. */
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

    /** Changes the role, and is the only method that does; does nothing if the replica already has that role. */
    void transitionTo(Role next, String reason) {
        if (role == next) {
            return;
        }
        if (!role.successors().contains(next)) {
            throw new IllegalStateException(partition + ": invalid role transition from " + role + " to " + next);
        }
        Role previous = role;
        role = next;
        candidateByTransfer = false;
        LOG.debug("Partition {} at {}: {} to {} in term {}, {}.", partition, self(), previous, next, term, reason);
        roleListener.onRoleChange(previous, next);
    }

    long term() {
        return term;
    }

    /** The node that this replica voted for in its term, or the leader of that term; empty if neither is known. */
    String votedFor() {
        return votedFor;
    }

    /** Sets the term and vote recovered from disk. */
    void restoreVote(long storedTerm, String storedVote) {
        term = storedTerm;
        votedFor = storedVote;
    }

    /** Enters a later term, with no vote cast and no leader known yet. */
    void enterTerm(long laterTerm) {
        term = laterTerm;
        votedFor = "";
        leaderId = "";
    }

    /** Casts the vote of a term for a candidate, which may be this node. */
    void voteFor(long inTerm, String candidate) {
        term = inTerm;
        votedFor = candidate;
    }

    String identity() {
        return identity;
    }

    /** Whether this replica votes and counts towards majorities under its current identity. */
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

    /** The leader last heard from in this term; empty if none is known. */
    String leaderId() {
        return leaderId;
    }

    void forgetLeader() {
        leaderId = "";
    }

    /** Records this replica as the leader after its election. */
    void setSelfAsLeader() {
        leaderId = self();
    }

    /** Records contact with the leader; its lease may run for a full lease duration from now. */
    void follow(String leader) {
        leaderId = leader;
        leaderLeaseUntil = now().plus(timing().lease());
    }

    /** Marks this candidacy as requested by the leader of the current term, which has relinquished its lease. */
    void becomeCandidateByTransfer() {
        candidateByTransfer = true;
    }

    /** Whether this candidacy was requested by a leader that is transferring leadership to this replica. */
    boolean isCandidateByTransfer() {
        return candidateByTransfer;
    }

    /** The time, by this node's clock, until which the lease of the leader last heard from may run. */
    Duration leaderLeaseUntil() {
        return leaderLeaseUntil;
    }

    boolean leaderLeaseMayRun() {
        return now().compareTo(leaderLeaseUntil) < 0;
    }

    /** Clears the leader lease: no node can hold one right after the bootstrap of the group. */
    void expireLeaderLease() {
        leaderLeaseUntil = now();
    }

    /**
     * Whether leadership may be transferred to this replica; a draining replica follows and votes but is no successor.
     */
    boolean isElectable() {
        return electable;
    }

    void declineLeadership() {
        electable = false;
    }

    /** The nodes that should be in the group, in order of preference as leader. */
    List<String> desiredMembers() {
        return desiredMembers;
    }

    void setDesiredMembers(List<String> members) {
        desiredMembers = List.copyOf(members);
    }

    /** The progress of the agreement on the group's initial members. */
    BootstrapState bootstrap() {
        return bootstrap;
    }

    void setBootstrap(BootstrapState next) {
        bootstrap = next;
    }

    /**
     * Whether this replica has neither a log nor members, so that it may still agree on the initial members of its
     * group.
     */
    boolean canBootstrap() {
        return role == Role.UNINITIALIZED && membership.latest().isEmpty();
    }

    boolean isPreferredLeader() {
        return !desiredMembers.isEmpty() && desiredMembers.get(0).equals(self());
    }

    /** Appends an entry in memory; a MEMBERSHIP entry takes effect immediately. */
    void appendInMemory(LogEntry entry) {
        log.append(entry);
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            membership.onAppended(log.lastIndex(), decodeMembers(entry));
        }
    }

    /** Drops the entries from an index on, including any membership change among them. */
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
            throw new IllegalStateException("cannot decode a membership entry of partition " + partition, e);
        }
    }

    /** The leader, if one is known and it is another node. */
    Optional<String> otherLeader() {
        return leaderId.isEmpty() || leaderId.equals(self()) ? Optional.empty() : Optional.of(leaderId);
    }
}
