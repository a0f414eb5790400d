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
 * Determines whether this control machine is in contact with a majority of the core: the leader of partition c0 by its
 * voters, another member by that leader, and a standby machine by the responses to its announcements. Sends no messages
 * of its own.
 */
public final class MajorityContact {
    /** Heartbeats and announcements arrive at least every 300 ms; two missing ones mean that contact is lost. */
    private static final Duration REQUEST_CONTACT_LIMIT = Duration.ofMillis(600);
    /** The platform checks readiness once a second; a change of leader must not make the node unready. */
    private static final Duration READINESS_CONTACT_LIMIT = Duration.ofMillis(1800);

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final Replica<ControlCommand, ControlResult> c0;
    private final Supplier<Duration> announcementAnsweredAt;

    /**
     * Tracks the contact of one control node.
     *
     * @param announcementAnsweredAt when the latest answered announcement was sent; zero if none has been answered
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
        return within(REQUEST_CONTACT_LIMIT);
    }

    /** Whether contact is recent enough for readiness; a member also needs a leader for each partition. */
    public boolean isReady(boolean partitionsLed) {
        return within(READINESS_CONTACT_LIMIT) && (partitionsLed || !isMember());
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
