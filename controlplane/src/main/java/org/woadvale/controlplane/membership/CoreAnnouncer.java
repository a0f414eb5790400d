package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.Optional;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;

/**
 * Announces to the leader of partition c0 that this control machine is running, so that it can replace a lost member,
 * and, when it drains, that it is about to stop.
 */
final class CoreAnnouncer {
    /** How long a leaving member waits for the leader's answer whether a successor is available. */
    static final Duration LEAVE_ANSWER_TIMEOUT = Duration.ofMillis(500);

    private static final Duration LEAVE_REPEAT_INTERVAL = Duration.ofMillis(200);
    private static final String PARTITION = ServiceNames.controlPartition(ServiceNames.CORE);

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final String zone;
    private final Replica<ControlCommand, ControlResult> c0;
    private volatile String announcedTo = "";
    private volatile Duration answeredAt = Duration.ZERO;
    private volatile Optional<Duration> leavingSince = Optional.empty();
    private volatile Duration leaveLastSent = Duration.ZERO;
    private volatile Optional<Boolean> successorExpected = Optional.empty();

    CoreAnnouncer(
            NodeEnvironment environment, CoreClient core, String zone, Replica<ControlCommand, ControlResult> c0) {
        this.environment = environment;
        this.core = core;
        this.zone = zone;
        this.c0 = c0;
    }

    /** When the latest announcement that the leader has answered was sent; zero if none has been answered. */
    Duration answeredAt() {
        return answeredAt;
    }

    /** A machine that is not a member announces itself with every tick, a member only once to each new leader. */
    void onTick() {
        if (leavingSince.isPresent()) {
            return;
        }
        String leader = c0.leaderId().orElse("");
        boolean member = core.controlNodes().contains(environment.self());
        if (member && leader.isEmpty()) {
            core.refreshMembers(); // this node may have been replaced while it was unreachable
        }
        if (!member || !leader.isEmpty() && !leader.equals(announcedTo)) {
            announce(leader);
        }
    }

    private void announce(String leader) {
        Duration sentAt = now();
        ControlMessages.AnnounceStandbyRequest request =
                new ControlMessages.AnnounceStandbyRequest(environment.self(), zone);
        core.ask(PARTITION, request, ControlMessages.CoreMembersResponse.class)
                .subscribe(
                        response -> {
                            core.adopt(new CoreMembers(response.epoch(), response.members()));
                            announcedTo = leader;
                            answeredAt = sentAt;
                        },
                        e -> {});
    }

    /** Announces to the leader that this member is draining. Returns true while it should wait for its successor. */
    boolean leave() {
        Duration since = leavingSince.orElse(now());
        leavingSince = Optional.of(since);
        if (leaveLastSent.isZero() || now().minus(leaveLastSent).compareTo(LEAVE_REPEAT_INTERVAL) >= 0) {
            leaveLastSent = now();
            ControlMessages.LeaveCoreRequest request = new ControlMessages.LeaveCoreRequest(environment.self());
            core.ask(PARTITION, request, ControlMessages.UpdateResult.class)
                    .subscribe(result -> successorExpected = Optional.of(result.accepted()), e -> {});
        }
        return successorExpected.orElse(now().minus(since).compareTo(LEAVE_ANSWER_TIMEOUT) < 0);
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }
}
