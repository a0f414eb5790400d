package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.function.Supplier;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.Role;

/**
 * Whether this control machine is in contact with a majority of the core: as the leader of partition c0 with its
 * voters, as a member with that leader, as a standby machine by the answers to its announcements. Costs no messages.
 */
public final class MajorityContact {
    /** Heartbeats and announcements come at least every 300 ms; two that are missing mean no contact. */
    private static final Duration REQUESTS = Duration.ofMillis(600);
    /** The platform asks once a second; a change of leader is no reason to leave the list. */
    private static final Duration READINESS = Duration.ofMillis(1800);

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final Replica<ControlCommand, ControlResult> c0;
    private final Supplier<Duration> announcementAnsweredAt;

    /**
     * Contact of one control node.
     *
     * @param announcementAnsweredAt when the latest announcement was sent that was answered; zero if none was
     */
    public MajorityContact(
            NodeEnvironment environment,
            CoreClient core,
            Replica<ControlCommand, ControlResult> c0,
            Supplier<Duration> announcementAnsweredAt) {
        this.environment = environment;
        this.core = core;
        this.c0 = c0;
        this.announcementAnsweredAt = announcementAnsweredAt;
    }

    /** Whether contact is recent enough to accept requests. */
    public boolean isInContact() {
        return within(REQUESTS);
    }

    /** Whether contact is recent enough to be ready; a member also needs a leader of each partition. */
    public boolean isReady(boolean partitionsLed) {
        return within(READINESS) && (partitionsLed || !isMember());
    }

    private boolean within(Duration limit) {
        return memberContact(limit) || standbyContact(limit);
    }

    private boolean memberContact(Duration limit) {
        boolean led = c0.leaderId().isPresent() && (c0.role() != Role.LEADER || c0.isActiveLeader());
        return led && isMember() && age(c0.lastMajorityContact()).compareTo(limit) < 0;
    }

    private boolean standbyContact(Duration limit) {
        Duration at = announcementAnsweredAt.get();
        return !isMember() && !at.isZero() && age(at).compareTo(limit) < 0;
    }

    private boolean isMember() {
        return core.controlNodes().contains(environment.self());
    }

    private Duration age(Duration at) {
        return environment.clock().monotonicTime().minus(at);
    }
}
