package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.StoppingException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.wal.WalRecord;
import reactor.core.publisher.Mono;

/**
 * One replica of one partition: the public interface of the replication engine. It wires the engine's components
 * together and runs each call on the replica's shard.
 *
 * @param <C> the commands of the state machine
 * @param <R> the results of commands
 */
public final class Replica<C, R> {
    private static final Logger LOG = LogManager.getLogger(Replica.class);

    private final ReplicaState state;
    private final CommitTracker<C, R> commits;
    private final ReplicaStorage storage;
    private final ReplicaRecovery recovery;
    private final LeaderElection election;
    private final Leader leader;
    private final AppendEntriesHandler appendEntriesHandler;
    private final SnapshotInstallationHandler snapshotHandler;
    private final IdentityRevocationHandler revocationHandler;
    private final BootstrapVoter bootstrapVoter;
    private final Bootstrap bootstrap;
    private volatile Runnable onChange = () -> {};
    private TimerHandle tickTimer = () -> {};

    /**
     * Creates a replica that stays passive until {@link #start}.
     *
     * @param desiredMembers the nodes that should be in the group, the preferred leader first
     */
    public Replica(
            String partition,
            List<String> desiredMembers,
            StateMachine<C, R> stateMachine,
            NodeEnvironment environment) {
        state = new ReplicaState(partition, desiredMembers, environment);
        commits = new CommitTracker<>(state, stateMachine);
        storage = new ReplicaStorage(state, commits, stateMachine);
        recovery = new ReplicaRecovery(state, commits, stateMachine, storage);
        VoteStore votes = new VoteStore(state);
        VoterPromotion promotion = new VoterPromotion(state, storage);
        LeaderTracker leaderTracker = new LeaderTracker(state, votes);
        leader = new Leader(state, commits, storage, votes);
        election = new LeaderElection(state, votes, leader::leaseRunning, leader::onElected);
        appendEntriesHandler = new AppendEntriesHandler(state, commits, storage, leaderTracker);
        snapshotHandler = new SnapshotInstallationHandler(state, commits, storage, leaderTracker, promotion);
        revocationHandler = new IdentityRevocationHandler(state, storage);
        bootstrapVoter = new BootstrapVoter(state, storage, promotion);
        bootstrap = new Bootstrap(state, bootstrapVoter);
        state.onRoleChange(this::onRoleChange);
        commits.onAdvance(promotion::promoteIfMember);
        storage.retainLogFor(leader);
    }

    /**
     * Recovers from the records of the write-ahead log and then participates in the group.
     *
     * @throws ServiceException if a record is unreadable; the replica must not be used then
     */
    public void start(List<WalRecord> recovered) throws ServiceException {
        Optional<ServiceException> failure = state.shard().get(() -> {
            try {
                recovery.recover(recovered);
                return Optional.empty();
            } catch (ServiceException e) {
                return Optional.of(e);
            }
        });
        if (failure.isPresent()) {
            throw failure.get();
        }
        NodeEnvironment environment = state.environment();
        environment
                .wal()
                .onSnapshotNeeded(state.partition(), () -> state.shard().run(storage::storeSnapshot));
        tickTimer = environment
                .timers()
                .every(state.timing().tick(), () -> state.shard().run(this::onTick));
    }

    private void onTick() {
        switch (state.role()) {
            case UNINITIALIZED -> bootstrap.onTick();
            case FOLLOWER -> election.onTick();
            case LEADER -> leader.onTick();
            default -> {}
        }
        storage.announceSnapshotBytes();
        storage.compactIfNeeded();
    }

    /** Stops participating in the group; stored data is kept. */
    public void stop() {
        tickTimer.cancel();
        state.shard().run(() -> state.transitionTo(Role.STOPPED, "stop"));
    }

    private void onRoleChange(Role previous, Role current) {
        if (previous == Role.LEADER) {
            leader.onDeposed();
            commits.failPending();
        }
        if (current == Role.LEADER) {
            LOG.info("Partition {} is led by {} in term {}.", state.partition(), state.self(), state.term());
        }
        state.shard().afterUnlock(onChange);
    }

    /** Sets the task that runs after each role change, replacing the previous task. */
    public void onChange(Runnable task) {
        onChange = task;
    }

    /**
     * Whether the lease is running and an entry of the current term is committed; check it right before each side
     * effect.
     */
    public boolean isActiveLeader() {
        return state.shard().get(() -> state.isLeader() && leader.isActive());
    }

    /** The latest term that this replica knows of. */
    public long term() {
        return state.shard().get(state::term);
    }

    /** The current role; it may change as soon as this method returns. */
    public Role role() {
        return state.shard().get(state::role);
    }

    /** The leader last heard from, which may be this node; empty if none is known. */
    public Optional<String> leaderId() {
        return state.shard().get(() -> state.leaderId().isEmpty() ? Optional.empty() : Optional.of(state.leaderId()));
    }

    /** The committed members, node to identity, as far as this replica knows them. */
    public Map<String, String> members() {
        return state.shard().get(state.membership()::committed);
    }

    /** This replica's view of its group. */
    public GroupStatus status() {
        return state.shard().get(() -> {
            Map<String, String> members = state.membership().committed();
            boolean isMember = state.identity().equals(members.get(state.self()));
            return new GroupStatus(
                    state.term(),
                    List.copyOf(members.keySet()),
                    state.isLeader() && leader.isActive(),
                    state.isVoter() && isMember,
                    state.isLeader() && leader.isStable());
        });
    }

    /** When the leader was last in contact with each follower, by its monotonic clock; empty on any other replica. */
    public Map<String, Duration> followerContacts() {
        return state.shard().get(() -> state.isLeader() ? leader.followerContacts() : Map.of());
    }

    /**
     * When this replica was last in contact with a majority, by the local monotonic clock, as far as it can tell
     * without a request: on a leader, when the latest heartbeat confirmed by a majority was sent; on other replicas,
     * when the leader was last heard from.
     */
    public Duration lastMajorityContact() {
        return state.shard()
                .get(() -> state.isLeader()
                        ? leader.lease().lastMajorityContact()
                        : state.leaderLeaseUntil().minus(state.timing().lease()));
    }

    /** Bytes of log entries that are not applied yet; the size of the state does not include them. */
    public long unappliedBytes() {
        return state.shard().get(commits::unappliedBytes);
    }

    /** Sets the nodes that should be in the group, the preferred leader first; a leader acts on it at its next tick. */
    public void setDesiredMembers(List<String> members) {
        state.shard().run(() -> state.setDesiredMembers(members));
    }

    /**
     * Reports this replica as not electable from now on, so that no leader picks it as its successor; it still votes.
     */
    public void declineLeadership() {
        state.shard().run(state::declineLeadership);
    }

    private ServiceException notLeader() {
        return new NotLeaderException("Another node leads " + state.partition() + ".", state.otherLeader());
    }

    /**
     * Reads the state machine under the leader lease, so the result reflects every acknowledged command.
     *
     * @param reader receives the applied index
     * @return fails with NOT_OWNER, naming the leader if it is known, if this replica is not the active leader
     */
    public <T> Mono<T> read(LongFunction<T> reader) {
        return Mono.defer(() -> state.shard()
                .get(() ->
                        isActiveLeader() ? Mono.just(reader.apply(commits.appliedIndex())) : Mono.error(notLeader())));
    }

    /** Reads the local state machine, whether or not this replica leads; the result may be stale. */
    public <T> T inspect(LongFunction<T> reader) {
        return state.shard().get(() -> reader.apply(commits.appliedIndex()));
    }

    /**
     * Appends a command to the log and completes with its result once it is committed and applied.
     *
     * @return fails with NOT_OWNER, or with BAD_REQUEST if the command is too large, before anything is written; with
     *     UNKNOWN_OUTCOME if leadership is lost while the command is in the log; and with the state machine's own
     *     failure if it rejects the command
     */
    public <T extends R> Mono<T> propose(C command, Class<T> resultType) {
        Function<R, T> cast = resultType::cast;
        return Mono.defer(() -> state.shard().get(() -> {
                    if (!isActiveLeader()) {
                        return Mono.<R>error(notLeader());
                    }
                    byte[] bytes = state.environment().codec().write(command);
                    if (storage.isTooLarge(bytes.length)) {
                        return Mono.<R>error(new InvalidRequestException("This is larger than can be stored."));
                    }
                    Mono<R> result = commits.awaitCommit(state.log().lastIndex() + 1, state.term());
                    leader.append(new LogEntry(state.term(), LogEntry.Kind.COMMAND, bytes));
                    return result;
                }))
                .map(cast);
    }

    /** Transfers leadership to an up-to-date replica; false if that is not possible right now. */
    public boolean transferLeadership(String successor) {
        return state.shard().get(() -> state.isLeader() && leader.transferLeadership(successor));
    }

    /** The preferred successor, if this replica leads and any follower is up to date. */
    public Optional<String> successor() {
        return state.shard().get(() -> state.isLeader() ? leader.successor() : Optional.empty());
    }

    /** Handles a request from another replica of the partition. */
    public Mono<?> handle(String from, ReplicationRequest request) {
        return Mono.defer(() -> state.shard()
                .get(() -> state.isStopped()
                        ? Mono.error(new StoppingException("The partition is stopped here."))
                        : dispatch(from, request)));
    }

    private Mono<?> dispatch(String from, ReplicationRequest request) {
        if (request instanceof ReplicationMessages.AppendEntriesRequest append) {
            return appendEntriesHandler.onAppendEntries(from, append);
        } else if (request instanceof ReplicationMessages.VoteRequest vote) {
            return election.onVoteRequest(from, vote);
        } else if (request instanceof ReplicationMessages.StartElectionRequest start) {
            return election.onStartElection(from, start);
        } else if (request instanceof SnapshotMessages.SnapshotChunkRequest chunk) {
            return snapshotHandler.onChunk(from, chunk);
        } else if (request instanceof ReplicationMessages.InstallSnapshotRequest install) {
            return snapshotHandler.onInstallSnapshot(from, install);
        } else if (request instanceof SnapshotMessages.RevokeIdentityRequest revoke) {
            return revocationHandler.onRevokeIdentity(from, revoke);
        } else if (request instanceof BootstrapMessages.PrepareRequest prepare) {
            return bootstrap.onPrepare(prepare);
        } else if (request instanceof BootstrapMessages.AcceptRequest accept) {
            return bootstrapVoter.onAccept(accept);
        } else if (request instanceof ReplicationMessages.BootstrapRequest bootstrapRequest) {
            return bootstrapVoter.onBootstrap(bootstrapRequest);
        } else {
            return bootstrapVoter.onStatusRequest();
        }
    }

    /** The engine's state, for model checking; use it on the shard only. */
    ReplicaState state() {
        return state;
    }

    CommitTracker<C, R> commits() {
        return commits;
    }

    Leader leader() {
        return leader;
    }
}
