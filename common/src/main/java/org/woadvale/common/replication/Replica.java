package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.wal.WalRecord;
import reactor.core.publisher.Mono;

/** One replica of one part: the front, and the state that its helpers share. design 5 */
public final class Replica {
    static final Logger LOG = LogManager.getLogger(Replica.class);

    final String partition;
    final NodeEnvironment environment;
    final StateMachine stateMachine;
    final LockedShard shard = new LockedShard();
    final ReplicatedLog replicatedLog = new ReplicatedLog();
    final GroupMembership membership = new GroupMembership();
    final CommitTracker commits;
    final ReplicaStorage storage;
    final LeaderElection election;
    final Follower follower;
    final Leader leader;
    final Bootstrap bootstrap;

    Role role = Role.UNINITIALIZED;
    long term;
    String votedFor = "";
    String identity = "";
    boolean voter;
    String leaderId = "";
    /** A draining replica follows and votes, but is no successor. */
    boolean electable = true;
    /** Until when, by our clock, the present owner's lease may run. */
    Duration leaderLeaseUntil;

    List<String> desiredMembers;
    private Runnable onChange = () -> {};
    private TimerHandle ticking = () -> {};

    public Replica(String part, List<String> wanted, StateMachine machine, NodeEnvironment environment) {
        this.partition = part;
        this.desiredMembers = List.copyOf(wanted);
        this.stateMachine = machine;
        this.environment = environment;
        this.commits = new CommitTracker(this);
        this.storage = new ReplicaStorage(this);
        this.election = new LeaderElection(this);
        this.follower = new Follower(this);
        this.leader = new Leader(this);
        this.bootstrap = new Bootstrap(this);
        this.leaderLeaseUntil =
                environment.clock().monotonicTime().plus(environment.timing().lease());
    }

    public void start(List<WalRecord> recovered) throws ServiceException {
        Optional<ServiceException> bad = shard.get(() -> {
            try {
                storage.recover(recovered);
                return Optional.empty();
            } catch (ServiceException failure) {
                return Optional.of(failure);
            }
        });
        if (bad.isPresent()) {
            throw bad.get();
        }
        environment.wal().onSpaceNeeded(partition, () -> shard.run(storage::storeSnapshot));
        ticking = environment.timers().every(environment.timing().tick(), () -> shard.run(this::look));
    }

    private void look() {
        switch (role) {
            case UNINITIALIZED -> bootstrap.onTick();
            case FOLLOWER -> election.onTick();
            case LEADER -> leader.onTick();
            default -> {}
        }
        storage.compactIfNeeded();
    }

    public void stop() {
        ticking.cancel();
        shard.run(() -> transitionTo(Role.STOPPED, "stop"));
    }

    /** The one function for every change of phase. */
    void transitionTo(Role next, String why) {
        if (role == next) {
            return;
        }
        if (!role.successors().contains(next)) {
            throw new IllegalStateException(partition + ": " + role + " to " + next);
        }
        Role before = role;
        role = next;
        LOG.debug(
                "Partition {} of {} at {}: {} to {} in term {}, {}.",
                partition,
                stateMachine.getClass().getSimpleName(),
                environment.self(),
                before,
                next,
                term,
                why);
        if (before == Role.LEADER) {
            leader.onDeposed();
            commits.failPending();
        }
        if (next == Role.LEADER) {
            LOG.info("Partition {} is led by {} in term {}.", partition, environment.self(), term);
        }
        shard.afterUnlock(onChange);
    }

    /** A higher term was seen. */
    void adoptTerm(long newTerm, String why) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            leaderId = "";
            storage.storeVote(() -> {});
            if (role == Role.LEADER || role == Role.CANDIDATE) {
                transitionTo(Role.FOLLOWER, why);
            }
        }
    }

    Duration now() {
        return environment.clock().monotonicTime();
    }

    /** True while the lease runs and an entry of the own term is committed; ask right before each effect. */
    public boolean isActiveLeader() {
        return shard.get(() -> role == Role.LEADER && leader.isActive());
    }

    public long term() {
        return shard.get(() -> term);
    }

    /** The present phase; it may be another as soon as this returns. */
    public Role role() {
        return shard.get(() -> role);
    }

    public Optional<String> leaderId() {
        return shard.get(() -> leaderId.isEmpty() ? Optional.empty() : Optional.of(leaderId));
    }

    public Map<String, String> members() {
        return shard.get(membership::committed);
    }

    public GroupStatus status() {
        return shard.get(() -> GroupStatus.of(this));
    }

    /** The leader's last contact with each follower, by its monotonic clock; empty on any other replica. */
    public Map<String, Duration> followerContacts() {
        return shard.get(() -> role == Role.LEADER ? leader.followerContacts() : Map.of());
    }

    /** When this replica was last in contact, by the local monotonic clock: a leader with a majority, others with it. */
    public Duration lastMajorityContact() {
        return shard.get(() -> MajorityContactTime.of(this));
    }

    public void onChange(Runnable task) {
        onChange = task;
    }

    public void setDesiredMembers(List<String> members) {
        shard.run(() -> desiredMembers = List.copyOf(members));
    }

    ServiceException notLeader() {
        return new ServiceException(
                ErrorKind.NOT_OWNER,
                "Another node owns " + partition + ".",
                leaderId.isEmpty() || leaderId.equals(environment.self()) ? List.of() : List.of(leaderId));
    }

    /** Reads the machine under lease, so never older than what was acknowledged. */
    public <T> Mono<T> read(Function<Long, T> reader) {
        return Mono.defer(() -> shard.get(
                () -> isActiveLeader() ? Mono.just(reader.apply(commits.appliedIndex())) : Mono.error(notLeader())));
    }

    /** Looks at the machine as it is here, owner or not. */
    public <T> T look(Function<Long, T> reader) {
        return shard.get(() -> reader.apply(commits.appliedIndex()));
    }

    /** Refused definitely before anything is written; unknown once it is in the log and the lease is lost. */
    public <T> Mono<T> propose(Object command, Class<T> result) {
        return Mono.defer(() -> shard.get(() -> {
                    if (!isActiveLeader()) {
                        return Mono.<Object>error(notLeader());
                    }
                    LogEntry item = new LogEntry(
                            term, LogEntry.Kind.COMMAND, environment.codec().write(command));
                    Mono<Object> out = commits.awaitCommit(replicatedLog.lastIndex() + 1, term);
                    leader.append(item);
                    return out;
                }))
                .flatMap(o -> result.isInstance(o) ? Mono.just(result.cast(o)) : Mono.error((Throwable) o));
    }

    public void declineLeadership() {
        shard.run(() -> electable = false);
    }

    /** Gives the part to another replica that is up to date; used by drains and by spreading. */
    public boolean transferLeadership(String to) {
        return shard.get(() -> role == Role.LEADER && leader.transferLeadership(to));
    }

    /** The replica best placed to take over, if any is up to date. */
    public Optional<String> successor() {
        return shard.get(() -> role == Role.LEADER ? leader.successor() : Optional.empty());
    }

    public Mono<Object> handle(String from, Object body) {
        return Mono.defer(() -> shard.get(() -> {
            if (role == Role.STOPPED) {
                return Mono.error(new ServiceException(ErrorKind.STOPPING, "The part is stopped here."));
            }
            if (body instanceof ReplicationMessages.VoteRequest voteRequest) {
                return election.onVoteRequest(from, voteRequest);
            } else if (body instanceof ReplicationMessages.AppendEntriesRequest appendEntriesRequest) {
                return follower.onAppendEntries(from, appendEntriesRequest);
            } else if (body instanceof ReplicationMessages.InstallSnapshotRequest installSnapshotRequest) {
                return follower.onInstallSnapshot(from, installSnapshotRequest);
            } else if (SnapshotMessages.types().contains(body.getClass())) {
                return follower.onSnapshotMessage(from, body);
            } else if (body instanceof ReplicationMessages.StartElectionRequest request) {
                return election.onStartElection(from, request);
            }
            return bootstrap.onRequest(body);
        }));
    }
}
