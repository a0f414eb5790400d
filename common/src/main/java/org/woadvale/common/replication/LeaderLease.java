package org.woadvale.common.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The lease under which a leader acts: while it is running, no other replica can be elected. It starts when the latest
 * heartbeat confirmed by a majority was sent, and expires for the leader a little earlier than for the voters.
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

    /** Gives up the lease for the rest of the term, in favour of a successor. */
    void relinquish() {
        relinquished = true;
    }

    boolean isRelinquished() {
        return relinquished;
    }

    boolean isRunning() {
        return !relinquished && state.now().compareTo(end()) < 0;
    }

    /** When the lease expires, by this node's clock; zero if no majority has confirmed a heartbeat yet. */
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

    /** When a majority was last in contact, by this node's clock; negative if it never was. */
    Duration lastMajorityContact() {
        return end().minus(state.timing().leaderLease());
    }
}
