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
import org.woadvale.common.wal.Entry;
import reactor.core.publisher.Mono;

/** One replica of one part: the front, and the state that its helpers share. design 5 */
public final class Replica {
    static final Logger LOG = LogManager.getLogger("keeper");

    final String part;
    final Env env;
    final StateMachine machine;
    final LockedShard shard = new LockedShard();
    final ReplicatedLog replicatedLog = new ReplicatedLog();
    final GroupMembership groups = new GroupMembership();
    final CommitTracker progress;
    final ReplicaStorage store;
    final Election election;
    final FollowerLog following;
    final Leader leading;
    final Bootstrap bootstrap;

    Phase phase = Phase.BLANK;
    long term;
    String votedFor = "";
    String identity = "";
    boolean voter;
    String owner = "";
    /** A draining replica follows and votes, but is no successor. */
    boolean willing = true;
    /** Until when, by our clock, the present owner's lease may run. */
    Duration leaseHeardUntil;

    List<String> wanted;
    private Runnable onChange = () -> {};
    private TimerHandle looking = () -> {};

    public Replica(String part, List<String> wanted, StateMachine machine, Env env) {
        this.part = part;
        this.wanted = List.copyOf(wanted);
        this.machine = machine;
        this.env = env;
        this.progress = new CommitTracker(this);
        this.store = new ReplicaStorage(this);
        this.election = new Election(this);
        this.following = new FollowerLog(this);
        this.leading = new Leader(this);
        this.bootstrap = new Bootstrap(this);
        this.leaseHeardUntil = env.times().mono().plus(env.timing().lease());
    }

    public void start(List<Entry> recovered) throws ServiceException {
        Optional<ServiceException> bad = shard.get(() -> {
            try {
                store.recover(recovered);
                return Optional.empty();
            } catch (ServiceException e) {
                return Optional.of(e);
            }
        });
        if (bad.isPresent()) {
            throw bad.get();
        }
        env.wal().onPressure(part, () -> shard.run(store::giveBase));
        looking = env.schedules().every(env.timing().look(), () -> shard.run(this::look));
    }

    private void look() {
        switch (phase) {
            case BLANK -> bootstrap.look();
            case FOLLOWING -> election.look();
            case OWNING -> leading.look();
            default -> {}
        }
        store.compactIfLarge();
    }

    public void stop() {
        looking.cancel();
        shard.run(() -> become(Phase.STOPPED, "stop"));
    }

    /** The one function for every change of phase. */
    void become(Phase next, String why) {
        if (phase == next) {
            return;
        }
        if (!phase.next().contains(next)) {
            throw new IllegalStateException(part + ": " + phase + " to " + next);
        }
        Phase before = phase;
        phase = next;
        LOG.debug(
                "keeper: {} of {} at {}: {} to {} in term {}, {}.",
                part,
                machine.getClass().getSimpleName(),
                env.self(),
                before,
                next,
                term,
                why);
        if (before == Phase.OWNING) {
            leading.ended();
            progress.forsake();
        }
        if (next == Phase.OWNING) {
            LOG.info("keeper: {} is owned by {} in term {}.", part, env.self(), term);
        }
        shard.leave(onChange);
    }

    /** A higher term was seen. */
    void adopt(long newTerm, String why) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            owner = "";
            store.vote(() -> {});
            if (phase == Phase.OWNING || phase == Phase.STANDING) {
                become(Phase.FOLLOWING, why);
            }
        }
    }

    Duration now() {
        return env.times().mono();
    }

    /** True while the lease runs and an entry of the own term is committed; ask right before each effect. */
    public boolean mayAct() {
        return shard.get(() -> phase == Phase.OWNING && leading.mayAct());
    }

    public long term() {
        return shard.get(() -> term);
    }

    /** The present phase; it may be another as soon as this returns. */
    public Phase phase() {
        return shard.get(() -> phase);
    }

    public Optional<String> owner() {
        return shard.get(() -> owner.isEmpty() ? Optional.empty() : Optional.of(owner));
    }

    public Map<String, String> group() {
        return shard.get(groups::committed);
    }

    public GroupStatus status() {
        return shard.get(() -> GroupStatus.of(this));
    }

    /** The leader's last contact with each follower, by its monotonic clock; empty on any other replica. */
    public Map<String, Duration> contacts() {
        return shard.get(() -> phase == Phase.OWNING ? leading.contacts() : Map.of());
    }

    /** When this replica was last in contact, by the local monotonic clock: a leader with a majority, others with it. */
    public Duration contactAt() {
        return shard.get(() -> MajorityContactTime.of(this));
    }

    public void onChange(Runnable r) {
        onChange = r;
    }

    public void want(List<String> members) {
        shard.run(() -> wanted = List.copyOf(members));
    }

    ServiceException notOwner() {
        return new ServiceException(
                ErrorKind.NOT_OWNER,
                "Another node owns " + part + ".",
                owner.isEmpty() || owner.equals(env.self()) ? List.of() : List.of(owner));
    }

    /** Reads the machine under lease, so never older than what was acknowledged. */
    public <T> Mono<T> read(Function<Long, T> reader) {
        return Mono.defer(
                () -> shard.get(() -> mayAct() ? Mono.just(reader.apply(progress.applied())) : Mono.error(notOwner())));
    }

    /** Looks at the machine as it is here, owner or not. */
    public <T> T look(Function<Long, T> reader) {
        return shard.get(() -> reader.apply(progress.applied()));
    }

    /** Refused definitely before anything is written; unknown once it is in the log and the lease is lost. */
    public <T> Mono<T> propose(Object command, Class<T> result) {
        return Mono.defer(() -> shard.get(() -> {
                    if (!mayAct()) {
                        return Mono.<Object>error(notOwner());
                    }
                    LogEntry item = new LogEntry(
                            term, LogEntry.Kind.COMMAND, env.codec().write(command));
                    Mono<Object> out = progress.expect(replicatedLog.lastIndex() + 1, term);
                    leading.append(item);
                    return out;
                }))
                .flatMap(o -> result.isInstance(o) ? Mono.just(result.cast(o)) : Mono.error((Throwable) o));
    }

    public void unwilling() {
        shard.run(() -> willing = false);
    }

    /** Gives the part to another replica that is up to date; used by drains and by spreading. */
    public boolean transferLeadership(String to) {
        return shard.get(() -> phase == Phase.OWNING && leading.transferLeadership(to));
    }

    /** The replica best placed to take over, if any is up to date. */
    public Optional<String> successor() {
        return shard.get(() -> phase == Phase.OWNING ? leading.successor() : Optional.empty());
    }

    public Mono<Object> handle(String from, Object body) {
        return Mono.defer(() -> shard.get(() -> {
            if (phase == Phase.STOPPED) {
                return Mono.error(new ServiceException(ErrorKind.STOPPING, "The part is stopped here."));
            }
            if (body instanceof Messages.VoteAsk a) {
                return election.asked(from, a);
            } else if (body instanceof Messages.AppendAsk a) {
                return following.append(from, a);
            } else if (body instanceof Messages.ViewPush a) {
                return following.view(from, a);
            } else if (SnapshotMessages.types().contains(body.getClass())) {
                return following.snapshot(from, body);
            } else if (body instanceof Messages.Stand a) {
                return election.told(from, a);
            }
            return bootstrap.asked(body);
        }));
    }
}
