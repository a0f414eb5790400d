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

/** How long the members of the core have been out of contact with their leader, as the leader can tell. */
final class MemberContacts {
    /** A member that was not in contact for so long is taken to be gone, if another machine stands by. */
    private static final Duration ABSENT_AFTER = ReplicationTiming.partitions().lease();
    /** A leader that had no tick for so long was frozen, and begins to watch its followers anew. */
    private static final Duration LONGEST_TICK_GAP = Duration.ofMillis(600);

    /** The leader that this machine followed last, and when it heard it last. */
    private record FormerLeader(String node, Duration lastContact) {}

    private final NodeEnvironment environment;
    private final Replica<ControlCommand, ControlResult> c0;
    private volatile Duration lastTick = Duration.ZERO;
    private volatile Duration watchingSince = Duration.ZERO;
    private volatile FormerLeader formerLeader = new FormerLeader("", Duration.ZERO);
    /** When each member was first seen in the list: before, it was not sent to. */
    private final Map<String, Duration> memberSince = new ConcurrentHashMap<>();

    MemberContacts(NodeEnvironment environment, Replica<ControlCommand, ControlResult> c0) {
        this.environment = environment;
        this.c0 = c0;
    }

    /** Looks at how long this machine has been leading, and from when on each of the members counts as one. */
    void onTick(List<String> members) {
        memberSince.keySet().retainAll(members);
        members.forEach(member -> memberSince.putIfAbsent(member, now()));
        boolean frozen = now().minus(lastTick).compareTo(LONGEST_TICK_GAP) > 0;
        if (frozen || !c0.isActiveLeader()) {
            watchingSince = now();
        }
        lastTick = now();
        c0.leaderId()
                .filter(leader -> !leader.equals(environment.self()))
                .ifPresent(leader -> formerLeader = new FormerLeader(leader, c0.lastMajorityContact()));
    }

    /** Whether this machine has led without a pause for at least so long. */
    boolean watchedFor(Duration time) {
        return now().minus(watchingSince).compareTo(time) >= 0;
    }

    boolean isAbsent(String member) {
        return !member.equals(environment.self()) && timeSinceContact(member).compareTo(ABSENT_AFTER) > 0;
    }

    /** A new leader counts anew, but for the one before it: that one was silent for a lease, or nobody was elected. */
    Duration timeSinceContact(String member) {
        Optional<Duration> contact = Optional.ofNullable(c0.followerContacts().get(member));
        if (contact.isEmpty() && member.equals(formerLeader.node())) {
            return now().minus(formerLeader.lastContact());
        }
        Duration watched = latest(watchingSince, memberSince.getOrDefault(member, now()));
        return now().minus(latest(watched, contact.orElse(Duration.ZERO)));
    }

    private static Duration latest(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }
}
