package org.woadvale.common.replication;

import java.time.Duration;
import java.util.ArrayList;
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
    final ReplicatedLog ledger = new ReplicatedLog();
    final GroupMembership groups = new GroupMembership();
    final CommitTracker progress;
    final ReplicaStorage store;
    final Election ballot;
    final FollowerLog following;
    final Leader owning;
    final Bootstrap founding;

    Phase phase = Phase.BLANK;
    long term;
    String votedFor = "";
    String identity = "";
    boolean sworn;
    String owner = "";
    /** A draining replica follows and votes, but is no heir. */
    boolean willing = true;
    /** Until when, by our clock, the present owner's claim may run. */
    Duration claimHeard;

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
        this.ballot = new Election(this);
        this.following = new FollowerLog(this);
        this.owning = new Leader(this);
        this.founding = new Bootstrap(this);
        this.claimHeard = env.times().mono().plus(env.pace().claim());
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
        env.logbook().onPressure(part, () -> shard.run(store::giveBase));
        looking = env.schedules().every(env.pace().look(), () -> shard.run(this::look));
    }

    private void look() {
        switch (phase) {
            case BLANK -> founding.look();
            case FOLLOWING -> ballot.look();
            case OWNING -> owning.look();
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
            owning.ended();
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

    /** True while the claim runs and an entry of the own term is committed; ask right before each effect. */
    public boolean mayAct() {
        return shard.get(() -> phase == Phase.OWNING && owning.mayAct());
    }

    public long term() {
        return shard.get(() -> term);
    }

    public Phase phase() {
        return shard.get(() -> phase);
    }

    public Optional<String> owner() {
        return shard.get(() -> owner.isEmpty() ? Optional.empty() : Optional.of(owner));
    }

    public Map<String, String> group() {
        return shard.get(groups::committed);
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

    /** Reads the machine under claim, so never older than what was acknowledged. */
    public <T> Mono<T> read(Function<Long, T> reader) {
        return Mono.defer(
                () -> shard.get(() -> mayAct() ? Mono.just(reader.apply(progress.applied())) : Mono.error(notOwner())));
    }

    /** Looks at the machine as it is here, owner or not. */
    public <T> T look(Function<Long, T> reader) {
        return shard.get(() -> reader.apply(progress.applied()));
    }

    /** Refused definitely before anything is written; unknown once it is in the log and the claim is lost. */
    public <T> Mono<T> propose(Object command, Class<T> result) {
        return Mono.defer(() -> shard.get(() -> {
                    if (!mayAct()) {
                        return Mono.<Object>error(notOwner());
                    }
                    LogEntry item = new LogEntry(
                            term, LogEntry.Kind.COMMAND, env.codec().write(command));
                    Mono<Object> out = progress.expect(ledger.lastIndex() + 1, term);
                    owning.append(item);
                    return out;
                }))
                .flatMap(o -> result.isInstance(o) ? Mono.just(result.cast(o)) : Mono.error((Throwable) o));
    }

    public void unwilling() {
        shard.run(() -> willing = false);
    }

    /** Gives the part to another replica that is up to date; used by drains and by spreading. */
    public boolean handOver(String to) {
        return shard.get(() -> phase == Phase.OWNING && owning.handOver(to));
    }

    /** The replica best placed to take over, if any is up to date. */
    public Optional<String> heir() {
        return shard.get(() -> phase == Phase.OWNING ? owning.heir() : Optional.empty());
    }

    public Mono<Object> handle(String from, Object body) {
        return Mono.defer(() -> shard.get(() -> {
            if (phase == Phase.STOPPED) {
                return Mono.error(new ServiceException(ErrorKind.STOPPING, "The part is stopped here."));
            }
            if (body instanceof Messages.VoteAsk a) {
                return ballot.asked(from, a);
            } else if (body instanceof Messages.AppendAsk a) {
                return following.append(from, a);
            } else if (body instanceof Messages.ViewPush a) {
                return following.view(from, a);
            } else if (body instanceof Messages.Stand a) {
                return ballot.told(from, a);
            }
            return founding.asked(body);
        }));
    }

    List<String> neighbours() {
        List<String> all = new ArrayList<>(groups.members());
        all.remove(env.self());
        return all;
    }
}
