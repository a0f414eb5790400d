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
 * Manages the members of the core. Every control machine announces itself to the leader of partition c0. The leader
 * replaces a member that is lost or leaving by a standby machine, and adds standby machines while the core is smaller
 * than the fault tolerance requires. It makes one change at a time, by a committed command that carries the epoch of
 * the list on which the change is based. The safety argument is in docs/design.md, section 6.10.
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
     * Creates the membership of one control node.
     *
     * @param faultTolerance the losses that the core must tolerate
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

    /** The member list committed in partition c0, as far as it is applied on this node. */
    public CoreMembers committed() {
        return c0.inspect(index -> stateMachine.coreMembers());
    }

    /**
     * Announces this machine if necessary and, on the leader, decides on membership changes; called with every tick.
     */
    public void onTick() {
        contacts.onTick(committed().members());
        decideChange();
        announcer.onTick();
    }

    /**
     * When the latest announcement that the leader of partition c0 has answered was sent; zero if none has been
     * answered.
     */
    public Duration announcementAnsweredAt() {
        return announcer.answeredAt();
    }

    /**
     * Handles the announcement of a running control machine on the leader of partition c0; responds with the current
     * members.
     */
    public Mono<ControlMessages.CoreMembersResponse> onAnnouncement(ControlMessages.AnnounceStandbyRequest request) {
        return c0.read(index -> stateMachine.coreMembers()).map(current -> {
            announcements.onRunning(request.node(), request.zone());
            decideChange();
            return new ControlMessages.CoreMembersResponse(current.members(), current.epoch());
        });
    }

    /**
     * Handles the announcement of a member that is about to stop, on the leader of partition c0. The result is accepted
     * while the member should wait for its successor.
     */
    public Mono<UpdateResult> onLeaveRequest(ControlMessages.LeaveCoreRequest request) {
        return c0.read(index -> stateMachine.coreMembers()).map(current -> {
            announcements.onLeaving(request.node());
            decideChange();
            boolean voting = groups().stream().anyMatch(group -> group.contains(request.node()));
            boolean successorExpected = !contacts.hasLedFor(CoreAnnouncer.LEAVE_ANSWER_TIMEOUT)
                    || !current.members().contains(request.node())
                    || announcements.findStandby(current, request.node()).isPresent();
            return new UpdateResult(voting && successorExpected);
        });
    }

    /** Announces to the leader that this member is draining. Returns true while it should wait for its successor. */
    public boolean leave() {
        return announcer.leave();
    }

    /** The members of each control partition's group, as far as this node knows them. */
    private List<Set<String>> groups() {
        return replicas.get().stream()
                .map(replica -> replica.members().keySet())
                .toList();
    }

    /** Proposes at most one change at a time, and only on a leader that a majority follows. */
    private void decideChange() {
        if (proposing.get() || !c0.isActiveLeader()) {
            return;
        }
        CoreMembers current = committed();
        if (current.members().isEmpty()) {
            propose(new TreeSet<>(c0.members().keySet()), current.epoch(), "bootstrapped");
            return;
        }
        Optional<String> leaver = findLeaver(current);
        Optional<String> successor = leaver.flatMap(member -> announcements.findStandby(current, member));
        if (successor.isPresent()) {
            replaceMember(current, leaver.orElseThrow(), successor.get());
        } else if (canAddMember(current)) {
            announcements.findStandby(current).ifPresent(joiner -> addMember(current, joiner));
        }
    }

    private void replaceMember(CoreMembers current, String leaver, String joiner) {
        TreeSet<String> members = new TreeSet<>(current.members());
        members.remove(leaver);
        members.add(joiner);
        propose(members, current.epoch(), joiner + " replaces " + leaver);
    }

    /**
     * Whether all groups have the members of the list and the available standby machines allow the core to tolerate
     * more losses.
     */
    private boolean canAddMember(CoreMembers current) {
        int size = current.members().size();
        int available = size + announcements.countStandbys(current);
        return size < faultTolerance.attainableGroupSize(available) && !isChanging(current);
    }

    private void addMember(CoreMembers current, String joiner) {
        TreeSet<String> members = new TreeSet<>(current.members());
        members.add(joiner);
        propose(members, current.epoch(), joiner + " joins, target size " + faultTolerance.groupSize() + " members");
    }

    /** Whether, as far as this node knows, some group does not have the members of the committed list yet. */
    public boolean isChanging() {
        CoreMembers current = committed();
        return !current.members().isEmpty() && isChanging(current);
    }

    /** Whether some group does not have the members of the list yet. */
    private boolean isChanging(CoreMembers current) {
        return groups().stream().anyMatch(group -> !group.equals(Set.copyOf(current.members())));
    }

    private void propose(TreeSet<String> members, long epoch, String reason) {
        proposing.set(true);
        LOG.info("Changing the members of the core to {}: {}.", members, reason);
        c0.propose(new ControlMessages.ChangeCore(new ArrayList<>(members), epoch), UpdateResult.class)
                .doFinally(signal -> proposing.set(false))
                .subscribe(result -> {}, e -> {});
    }

    /**
     * Finds the member to replace: one that announced that it is leaving, or else the one that has been out of contact
     * for the longest time.
     */
    private Optional<String> findLeaver(CoreMembers current) {
        List<Set<String>> groups = groups();
        boolean changing = isChanging(current);
        return current.members().stream()
                // during a change, only the member that is still joining may be replaced
                .filter(member ->
                        !changing || groups.stream().anyMatch(group -> !group.isEmpty() && !group.contains(member)))
                .filter(member -> announcements.isLeaving(member) || contacts.isAbsent(member))
                .max(Comparator.comparing(announcements::isLeaving).thenComparing(contacts::timeSinceContact));
    }
}
