package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/**
 * Who the members of the core are. Every control machine announces itself; the leader of partition c0 puts a standby
 * machine in the place of a member that is gone or leaves, and adds standby machines while the core is smaller than the
 * fault tolerance asks for; one at a time, by a committed command that carries the epoch of the list that it was made
 * from. Why this is safe: docs/design.md, section 6.10.
 */
public final class CoreMembership {
    private static final Logger LOG = LogManager.getLogger(CoreMembership.class);

    private final Replica<ControlCommand, ControlResult> c0;
    private final ControlStateMachine stateMachine;
    private final Supplier<List<Replica<ControlCommand, ControlResult>>> replicas;
    private final FaultTolerance faultTolerance;
    private final Announcements announcements;
    private final MemberContacts contacts;
    private final CoreAnnouncer announcer;
    private final AtomicBoolean proposing = new AtomicBoolean();

    /**
     * Membership as seen by one control node.
     *
     * @param faultTolerance what the core must bear
     * @param c0 the replica of the partition that holds the list
     * @param replicas the replicas of all control partitions on this node
     */
    public CoreMembership(
            NodeEnvironment environment,
            CoreClient core,
            String zone,
            FaultTolerance faultTolerance,
            Replica<ControlCommand, ControlResult> c0,
            ControlStateMachine stateMachine,
            Supplier<List<Replica<ControlCommand, ControlResult>>> replicas) {
        this.c0 = c0;
        this.stateMachine = stateMachine;
        this.replicas = replicas;
        this.faultTolerance = faultTolerance;
        this.announcements = new Announcements(environment.clock(), faultTolerance);
        this.contacts = new MemberContacts(environment, c0);
        this.announcer = new CoreAnnouncer(environment, core, zone, c0);
    }

    /** The list as committed in partition c0, as far as that is applied here. */
    public CoreMembers committed() {
        return c0.inspect(index -> stateMachine.coreMembers());
    }

    /** Called with each tick of the node: announces this machine where that is needed, and decides as the leader. */
    public void onTick() {
        contacts.onTick(committed().members());
        decideChange();
        announcer.onTick();
    }

    /** When the latest announcement was sent that the leader of partition c0 has answered; zero if none was. */
    public Duration announcementAnsweredAt() {
        return announcer.answeredAt();
    }

    /** On the leader of partition c0: a control machine runs. Answers with the present members. */
    public Mono<ControlMessages.CoreMembersResponse> onAnnouncement(ControlMessages.AnnounceStandbyRequest request) {
        return c0.read(index -> stateMachine.coreMembers()).map(present -> {
            announcements.onRunning(request.node(), request.zone());
            decideChange();
            return new ControlMessages.CoreMembersResponse(present.members(), present.epoch());
        });
    }

    /** On the leader of partition c0: a member is about to stop. Yes as long as it should wait for its successor. */
    public Mono<UpdateResult> onLeaveRequest(ControlMessages.LeaveCoreRequest request) {
        return c0.read(index -> stateMachine.coreMembers()).map(present -> {
            announcements.onLeaving(request.node());
            decideChange();
            boolean voting = groups().stream().anyMatch(group -> group.contains(request.node()));
            boolean successorExpected = !contacts.watchedFor(CoreAnnouncer.LEAVE_ANSWER_TIMEOUT)
                    || !present.members().contains(request.node())
                    || announcements.findStandby(present, request.node()).isPresent();
            return new UpdateResult(voting && successorExpected);
        });
    }

    /** On a member that drains: tells the leader; true as long as this member should stay for its successor's sake. */
    public boolean leave() {
        return announcer.leave();
    }

    /** The members of each control partition's group, as far as they are known here. */
    private List<Set<String>> groups() {
        return replicas.get().stream()
                .map(replica -> replica.members().keySet())
                .toList();
    }

    /** At most one change at a time, and only by a leader that a majority follows. */
    private void decideChange() {
        if (proposing.get() || !c0.isActiveLeader()) {
            return;
        }
        CoreMembers present = committed();
        if (present.members().isEmpty()) {
            propose(new TreeSet<>(c0.members().keySet()), present.epoch(), "bootstrapped");
            return;
        }
        Optional<String> leaver = findLeaver(present);
        Optional<String> successor = leaver.flatMap(member -> announcements.findStandby(present, member));
        if (successor.isPresent()) {
            exchange(present, leaver.orElseThrow(), successor.get());
        } else if (mayGrow(present)) {
            announcements.findStandby(present).ifPresent(joiner -> grow(present, joiner));
        }
    }

    private void exchange(CoreMembers present, String leaver, String joiner) {
        TreeSet<String> members = new TreeSet<>(present.members());
        members.remove(leaver);
        members.add(joiner);
        propose(members, present.epoch(), joiner + " for " + leaver);
    }

    /** All groups have the members of the list, and with the machines that stand by the core can bear more losses. */
    private boolean mayGrow(CoreMembers present) {
        int size = present.members().size();
        int available = size + announcements.countStandbys(present);
        return size < faultTolerance.attainableGroupSize(available) && !isChanging(present);
    }

    private void grow(CoreMembers present, String joiner) {
        TreeSet<String> members = new TreeSet<>(present.members());
        members.add(joiner);
        propose(members, present.epoch(), joiner + " joins, of " + faultTolerance.groupSize() + " members to be");
    }

    /** Whether some group does not have the members of the committed list yet, as far as known here. */
    public boolean isChanging() {
        CoreMembers present = committed();
        return !present.members().isEmpty() && isChanging(present);
    }

    /** Whether some group does not have the members of the list yet. */
    private boolean isChanging(CoreMembers present) {
        return groups().stream().anyMatch(group -> !group.equals(Set.copyOf(present.members())));
    }

    private void propose(TreeSet<String> members, long epoch, String reason) {
        proposing.set(true);
        LOG.info("Members of the core become {}: {}.", members, reason);
        c0.propose(new ControlMessages.ChangeCore(new ArrayList<>(members), epoch), UpdateResult.class)
                .doFinally(signal -> proposing.set(false))
                .subscribe(result -> {}, e -> {});
    }

    /** Who is to be replaced: a member that said so, or else the one that was out of contact for longest. */
    private Optional<String> findLeaver(CoreMembers present) {
        List<Set<String>> groups = groups();
        boolean changing = isChanging(present);
        return present.members().stream()
                // while one change is under way only its own newcomer may be given up for another
                .filter(member ->
                        !changing || groups.stream().anyMatch(group -> !group.isEmpty() && !group.contains(member)))
                .filter(member -> announcements.isLeaving(member) || contacts.isAbsent(member))
                .max(Comparator.comparing(announcements::isLeaving).thenComparing(contacts::timeSinceContact));
    }
}
