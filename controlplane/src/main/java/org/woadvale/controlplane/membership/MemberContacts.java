package org.woadvale.controlplane.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.replication.ReplicationTiming;

/** Tracks how long each member of the core has been out of contact with the leader, as observed by the leader. */
final class MemberContacts {
    /** A member without contact for this long counts as lost and is replaced if a standby machine is available. */
    private static final Duration ABSENT_AFTER = ReplicationTiming.partitions().lease();
    /** A leader whose last tick is longer ago than this was paused, and restarts the observation of its followers. */
    private static final Duration LONGEST_TICK_GAP = Duration.ofMillis(600);

    /** The leader that this machine followed last, and the time of the last contact with it. */
    private record FormerLeader(String node, Duration lastContact) {}

    private final NodeEnvironment environment;
    private final Replica<ControlCommand, ControlResult> c0;
    private volatile Duration lastTick = Duration.ZERO;
    private volatile Duration leadingSince = Duration.ZERO;
    private volatile FormerLeader formerLeader = new FormerLeader("", Duration.ZERO);
    /** When each member was first seen in the list; before that, nothing was sent to it. */
    private final Map<String, Duration> memberSince = new ConcurrentHashMap<>();

    MemberContacts(NodeEnvironment environment, Replica<ControlCommand, ControlResult> c0) {
        this.environment = environment;
        this.c0 = c0;
    }

    /** Updates since when this machine has been the leader and since when each member has been in the list. */
    void onTick(List<String> members) {
        memberSince.keySet().retainAll(members);
        members.forEach(member -> memberSince.putIfAbsent(member, now()));
        boolean paused = now().minus(lastTick).compareTo(LONGEST_TICK_GAP) > 0;
        if (paused || !c0.isActiveLeader()) {
            leadingSince = now();
        }
        lastTick = now();
        c0.leaderId()
                .filter(leader -> !leader.equals(environment.self()))
                .ifPresent(leader -> formerLeader = new FormerLeader(leader, c0.lastMajorityContact()));
    }

    /** Whether this machine has been the leader without interruption for at least the given time. */
    boolean hasLedFor(Duration time) {
        return now().minus(leadingSince).compareTo(time) >= 0;
    }

    boolean isAbsent(String member) {
        return !member.equals(environment.self()) && timeSinceContact(member).compareTo(ABSENT_AFTER) > 0;
    }

    /**
     * Returns the time since the last contact with a member. A new leader starts at zero for all members except its
     * predecessor, which must have been silent for a lease before another leader could be elected.
     */
    Duration timeSinceContact(String member) {
        Optional<Duration> contact = Optional.ofNullable(c0.followerContacts().get(member));
        if (contact.isEmpty() && member.equals(formerLeader.node())) {
            return now().minus(formerLeader.lastContact());
        }
        Duration observedSince = latest(leadingSince, memberSince.getOrDefault(member, now()));
        return now().minus(latest(observedSince, contact.orElse(Duration.ZERO)));
    }

    private static Duration latest(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }
}
