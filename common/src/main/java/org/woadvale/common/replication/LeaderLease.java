package org.woadvale.common.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The lease under which a leader acts: as long as it runs, no other replica is elected. It is counted from the sending
 * of the latest heartbeat that a majority has confirmed, and ends for the leader a little earlier than for the voters.
 */
final class LeaderLease {
    private final ReplicaState state;
    private final Followers followers;
    private boolean relinquished;

    LeaderLease(ReplicaState state, Followers followers) {
        this.state = state;
        this.followers = followers;
    }

    void begin() {
        relinquished = false;
    }

    /** Given up for good, in favour of a successor. */
    void relinquish() {
        relinquished = true;
    }

    boolean isRelinquished() {
        return relinquished;
    }

    boolean isRunning() {
        return !relinquished && state.now().compareTo(end()) < 0;
    }

    /** Zero if no majority has confirmed anything yet. */
    Duration end() {
        List<Duration> contacts = new ArrayList<>(followers.appenders().stream()
                .map(appender -> appender.progress().lastContact())
                .toList());
        contacts.add(state.now());
        contacts.sort(Comparator.reverseOrder());
        for (Duration contact : contacts) {
            Map<String, String> confirming = followers.identitiesWhere(progress -> progress.wasContactedSince(contact));
            confirming.put(state.self(), state.identity());
            if (state.membership().hasMajority(confirming)) {
                return contact.plus(state.timing().leaderLease());
            }
        }
        return Duration.ZERO;
    }

    /** When a majority was last in contact, by this node's clock; far back if it never was. */
    Duration lastMajorityContact() {
        return end().minus(state.timing().leaderLease());
    }
}
