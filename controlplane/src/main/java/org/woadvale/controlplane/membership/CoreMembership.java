package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/**
 * Who the members of the core are. Every control machine announces itself; the leader of part c0 puts a standby machine
 * in the place of a member that is gone or leaves, one at a time, by a committed command. design 6.10
 */
public final class CoreMembership {
    private static final Logger LOG = LogManager.getLogger(CoreMembership.class);
    /** A member that was not in contact with the leader for so long is taken to be gone, if another stands by. */
    private static final Duration ABSENT_AFTER = ReplicationTiming.partitions().lease();
    /** An announcement counts for so long; it is repeated at each look while it matters. */
    private static final Duration ANNOUNCEMENT_VALID = Duration.ofSeconds(1);
    /** A leader that did not look for so long was frozen, and begins to watch its followers anew. */
    private static final Duration LONGEST_TICK_GAP = Duration.ofMillis(600);
    /** How long a leaving member waits to hear whether a successor is there. */
    private static final Duration LEAVE_ANSWER = Duration.ofMillis(500);

    private static final Duration LEAVE_REPEAT = Duration.ofMillis(200);

    private record Announcement(String zone, Duration receivedAt) {}

    /** The leader that this machine followed last, and when it heard it last. */
    private record FormerLeader(String node, Duration lastContact) {}

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final String zone;
    private final Replica<ControlCommand, ControlResult> c0;
    private final ControlStateMachine stateMachine;
    private final Supplier<List<Replica<ControlCommand, ControlResult>>> replicas;
    // no lock: two decisions made at once carry the same epoch, and one of them is taken
    private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();
    private final Map<String, Duration> leavers = new ConcurrentHashMap<>();
    private final AtomicBoolean proposing = new AtomicBoolean();
    private volatile Duration lastTick = Duration.ZERO;
    private volatile Duration watchingSince = Duration.ZERO;
    private volatile FormerLeader formerLeader = new FormerLeader("", Duration.ZERO);
    private volatile String announcedTo = "";
    private volatile Duration answeredAt = Duration.ZERO;
    private volatile Optional<Duration> leavingSince = Optional.empty();
    private volatile Duration leaveAsked = Duration.ZERO;
    private volatile Optional<Boolean> successorComes = Optional.empty();

    public CoreMembership(
            NodeEnvironment environment,
            CoreClient core,
            String zone,
            Replica<ControlCommand, ControlResult> c0,
            ControlStateMachine machine,
            Supplier<List<Replica<ControlCommand, ControlResult>>> replicas) {
        this.environment = environment;
        this.core = core;
        this.zone = zone;
        this.c0 = c0;
        this.stateMachine = machine;
        this.replicas = replicas;
    }

    /** The list as committed in part c0, as far as that is applied here. */
    public CoreMembers committed() {
        return c0.inspect(i -> stateMachine.coreMembers());
    }

    /** Called at each look of the node: announces this machine where that is needed, and decides as the leader. */
    public void onTick() {
        boolean frozen = now().minus(lastTick).compareTo(LONGEST_TICK_GAP) > 0;
        if (frozen || !c0.isActiveLeader()) {
            watchingSince = now();
        }
        lastTick = now();
        c0.leaderId()
                .filter(leader -> !leader.equals(environment.self()))
                .ifPresent(leader -> formerLeader = new FormerLeader(leader, c0.lastMajorityContact()));
        decideExchange();
        if (leavingSince.isEmpty()) {
            announce();
        }
    }

    /** Only a machine that is no member repeats itself; a member tells each new leader once where it stands. */
    private void announce() {
        String leader = c0.leaderId().orElse("");
        boolean member = core.controlNodes().contains(environment.self());
        if (member && leader.isEmpty()) {
            core.refreshMembers(); // it may have been replaced while it was away
        }
        if (member && (leader.isEmpty() || leader.equals(announcedTo))) {
            return;
        }
        Duration sent = now();
        core.ask(
                        ServiceNames.controlPart(ServiceNames.CORE),
                        new ControlMessages.AnnounceStandbyRequest(environment.self(), zone),
                        ControlMessages.CoreMembersResponse.class)
                .subscribe(
                        response -> {
                            core.adopt(new CoreMembers(response.epoch(), response.members()));
                            announcedTo = leader;
                            answeredAt = sent;
                        },
                        e -> {});
    }

    /** When the latest announcement was sent that the leader of part c0 has answered; zero if none was. */
    public Duration answeredAt() {
        return answeredAt;
    }

    /** On the leader of part c0: a control machine runs. */
    public Mono<ControlMessages.CoreMembersResponse> onAnnouncement(ControlMessages.AnnounceStandbyRequest ask) {
        return c0.read(i -> stateMachine.coreMembers()).map(present -> {
            announcements.put(ask.node(), new Announcement(ask.zone(), now()));
            leavers.remove(ask.node());
            decideExchange();
            return new ControlMessages.CoreMembersResponse(present.members(), present.epoch());
        });
    }

    /** On the leader of part c0: a member is about to stop. Yes as long as it should wait for its successor. */
    public Mono<ControlMessages.UpdateResult> onLeaveRequest(ControlMessages.LeaveCoreRequest ask) {
        return c0.read(i -> stateMachine.coreMembers()).map(present -> {
            leavers.put(ask.node(), now());
            decideExchange();
            boolean voting = groups().stream().anyMatch(g -> g.contains(ask.node()));
            boolean justElected = now().minus(watchingSince).compareTo(LEAVE_ANSWER) < 0;
            boolean comes = justElected
                    || !present.members().contains(ask.node())
                    || findStandby(present, ask.node()).isPresent();
            return new ControlMessages.UpdateResult(voting && comes);
        });
    }

    /** On a member that drains: tells the leader, and says whether it should stay for its successor's sake. */
    public boolean leave() {
        Duration since = leavingSince.orElse(now());
        leavingSince = Optional.of(since);
        if (leaveAsked.isZero() || now().minus(leaveAsked).compareTo(LEAVE_REPEAT) >= 0) {
            leaveAsked = now();
            core.ask(
                            ServiceNames.controlPart(ServiceNames.CORE),
                            new ControlMessages.LeaveCoreRequest(environment.self()),
                            ControlMessages.UpdateResult.class)
                    .subscribe(result -> successorComes = Optional.of(result.accepted()), e -> {});
        }
        return successorComes.orElse(now().minus(since).compareTo(LEAVE_ANSWER) < 0);
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /** The members of each control partition's group, as far as they are known here. */
    private List<Set<String>> groups() {
        return replicas.get().stream()
                .map(replica -> replica.members().keySet())
                .toList();
    }

    /** At most one exchange at a time, and only by a leader that a majority follows. */
    private void decideExchange() {
        if (proposing.get() || !c0.isActiveLeader()) {
            return;
        }
        CoreMembers present = committed();
        if (present.members().isEmpty()) {
            propose(new ArrayList<>(new TreeSet<>(c0.members().keySet())), present.epoch(), "founded");
            return;
        }
        Optional<String> leaver = leaver(present);
        Optional<String> joiner = leaver.flatMap(l -> findStandby(present, l));
        if (joiner.isPresent()) {
            TreeSet<String> next = new TreeSet<>(present.members());
            next.remove(leaver.get());
            next.add(joiner.get());
            propose(new ArrayList<>(next), present.epoch(), joiner.get() + " for " + leaver.get());
        }
    }

    private void propose(List<String> members, long epoch, String why) {
        proposing.set(true);
        LOG.info("Members of the core become {}: {}.", members, why);
        c0.propose(new ControlMessages.ChangeCore(members, epoch), ControlMessages.UpdateResult.class)
                .doFinally(signal -> proposing.set(false))
                .subscribe(result -> {}, e -> {});
    }

    /** Who is to be replaced: a member that said so, or else the one that was out of contact for longest. */
    private Optional<String> leaver(CoreMembers present) {
        List<Set<String>> groups = groups();
        boolean exchanging = groups.stream().anyMatch(g -> !g.equals(Set.copyOf(present.members())));
        return present.members().stream()
                // while one exchange is under way only its own newcomer may be given up for another
                .filter(m -> !exchanging || groups.stream().anyMatch(g -> !g.isEmpty() && !g.contains(m)))
                .filter(m -> isLeaving(m) || isAbsent(m))
                .max(Comparator.comparing(this::isLeaving).thenComparing(this::timeSinceContact));
    }

    private boolean isLeaving(String member) {
        Duration said = leavers.getOrDefault(member, Duration.ZERO);
        return !said.isZero() && now().minus(said).compareTo(ANNOUNCEMENT_VALID) < 0;
    }

    private boolean isAbsent(String member) {
        return !member.equals(environment.self()) && timeSinceContact(member).compareTo(ABSENT_AFTER) > 0;
    }

    /** A new leader counts anew, but for the one before it: that one was silent for a lease, or nobody was elected. */
    private Duration timeSinceContact(String member) {
        Optional<Duration> contact = Optional.ofNullable(c0.followerContacts().get(member));
        if (contact.isEmpty() && member.equals(formerLeader.node())) {
            return now().minus(formerLeader.lastContact());
        }
        return now().minus(contact.filter(at -> at.compareTo(watchingSince) > 0).orElse(watchingSince));
    }

    /** A machine that runs and is no member, by preference in a zone that no remaining member is in. */
    private Optional<String> findStandby(CoreMembers present, String leaver) {
        Set<String> taken = new TreeSet<>();
        present.members().stream()
                .filter(m -> !m.equals(leaver) && announcements.containsKey(m))
                .forEach(m -> taken.add(announcements.get(m).zone()));
        return announcements.entrySet().stream()
                .filter(entry -> !present.members().contains(entry.getKey()) && !isLeaving(entry.getKey()))
                .filter(entry -> now().minus(entry.getValue().receivedAt()).compareTo(ANNOUNCEMENT_VALID) < 0)
                .min(Comparator.<Map.Entry<String, Announcement>, Boolean>comparing(
                                entry -> taken.contains(entry.getValue().zone()))
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
