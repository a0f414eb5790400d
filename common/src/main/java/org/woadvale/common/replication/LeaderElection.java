package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Standing, and voting for others: design 5.3. */
final class LeaderElection {
    private final Replica r;
    private Duration electionDueAt = Duration.ZERO;
    private Map<String, String> votes = new TreeMap<>();

    LeaderElection(Replica r) {
        this.r = r;
    }

    void onTick() {
        if (wasLastLeader() && r.membership.latest().containsKey(r.environment.self())) {
            electionDueAt = electionDueAt.isZero() ? r.now().plus(electionTimeout()) : electionDueAt;
            if (r.now().compareTo(electionDueAt) >= 0) {
                startElection(false);
            }
        } else if (r.now().compareTo(r.leaderLeaseUntil) < 0
                || !r.membership.latest().containsKey(r.environment.self())) {
            electionDueAt = Duration.ZERO;
        } else if (electionDueAt.isZero()) {
            electionDueAt = r.now().plus(electionTimeout());
        } else if (r.now().compareTo(electionDueAt) >= 0) {
            startElection(false);
        }
    }

    /**
     * Started again, and nobody else can hold a lease that was confirmed here: it was ours, and ended with our former
     * life. design 5.3
     */
    private boolean wasLastLeader() {
        return r.term > 0 && r.votedFor.equals(r.environment.self()) && r.leaderId.isEmpty();
    }

    /** The first of the wanted list stands first; the others leave it time: owners spread by placement. */
    private Duration electionTimeout() {
        Duration spread = r.environment.timing().electionJitter();
        long jitter = Math.floorMod(r.environment.random().getAsLong(), spread.toNanos());
        boolean first = !r.desiredMembers.isEmpty() && r.desiredMembers.get(0).equals(r.environment.self());
        return first ? Duration.ofNanos(jitter / 8) : spread.dividedBy(2).plusNanos(jitter);
    }

    /** A dry round first, so that a replica nobody would elect does not raise the term. */
    void startElection(boolean leadershipTransferred) {
        electionDueAt = Duration.ZERO;
        r.transitionTo(Role.CANDIDATE, "the part is vacant");
        r.leaderId = "";
        requestVotes(r.term + 1, true, leadershipTransferred);
    }

    private void requestVotes(long term, boolean dry, boolean leadershipTransferred) {
        votes = new TreeMap<>(Map.of(r.environment.self(), r.identity));
        ReplicationMessages.VoteRequest ask = new ReplicationMessages.VoteRequest(
                r.partition, term, r.replicatedLog.lastIndex(), r.replicatedLog.lastTerm(), dry, leadershipTransferred);
        for (String n : r.membership.membersExcept(r.environment.self())) {
            r.shard.afterUnlock(() -> r.environment
                    .rpc()
                    .call(
                            n,
                            ask,
                            ReplicationMessages.VoteResponse.class,
                            r.environment.timing().requestTimeout())
                    .subscribe(v -> r.shard.run(() -> onVoteResponse(n, ask, v)), e -> {}));
        }
        r.environment
                .timers()
                .after(
                        r.environment.timing().requestTimeout(),
                        () -> r.shard.run(() -> {
                            if (r.role == Role.CANDIDATE && (dry ? r.term + 1 : r.term) == term) {
                                r.transitionTo(Role.FOLLOWER, "no majority in time");
                            }
                        }));
    }

    private void onVoteResponse(String from, ReplicationMessages.VoteRequest ask, ReplicationMessages.VoteResponse v) {
        r.adoptTerm(v.term(), "a neighbour is ahead");
        long expected = ask.preVote() ? r.term + 1 : r.term;
        if (r.role != Role.CANDIDATE || ask.term() != expected || !v.granted()) {
            return;
        }
        votes.put(from, v.identity());
        if (!r.membership.hasMajority(votes)) {
            return;
        }
        if (ask.preVote()) {
            r.term = ask.term();
            r.votedFor = r.environment.self();
            long term = r.term;
            r.storage.storeVote(() -> {
                if (r.role == Role.CANDIDATE && r.term == term) {
                    requestVotes(term, false, ask.leadershipTransferred());
                }
            });
        } else {
            r.transitionTo(Role.LEADER, "elected");
            r.leaderId = r.environment.self();
            r.leader.onElected();
        }
    }

    Mono<Object> onVoteRequest(String from, ReplicationMessages.VoteRequest a) {
        boolean leaseRuns =
                r.now().compareTo(r.leaderLeaseUntil) < 0 || (r.role == Role.LEADER && r.leader.leaseRunning());
        // whoever held the lease and stands now has given it up, or lost it with its former life
        boolean itsOwn = from.equals(r.votedFor) && r.role != Role.LEADER;
        boolean complete = a.lastTerm() > r.replicatedLog.lastTerm()
                || (a.lastTerm() == r.replicatedLog.lastTerm() && a.lastIndex() >= r.replicatedLog.lastIndex());
        boolean free = a.term() > r.term || (a.term() == r.term && (r.votedFor.equals(from)));
        if (!r.voter || (leaseRuns && !a.leadershipTransferred() && !itsOwn) || !complete || !free) {
            return Mono.just(new ReplicationMessages.VoteResponse(r.term, false, r.identity));
        }
        if (a.preVote()) {
            return Mono.just(new ReplicationMessages.VoteResponse(r.term, true, r.identity));
        }
        if (a.term() > r.term) {
            r.term = a.term();
            r.leaderId = "";
            r.votedFor = from;
            if (r.role == Role.LEADER || r.role == Role.CANDIDATE) {
                r.transitionTo(Role.FOLLOWER, "voted for " + from);
            }
        }
        electionDueAt = r.now().plus(r.environment.timing().lease());
        long term = r.term;
        Sinks.One<Object> out = Sinks.one();
        r.storage.storeVote(() -> r.shard.afterUnlock(
                () -> out.tryEmitValue(new ReplicationMessages.VoteResponse(term, true, r.identity))));
        return out.asMono();
    }

    /** The owner has given up its lease in our favour. */
    Mono<Object> onStartElection(String from, ReplicationMessages.StartElectionRequest s) {
        boolean ready = r.role == Role.FOLLOWER && r.voter && s.term() == r.term && from.equals(r.leaderId);
        if (ready) {
            startElection(true);
        }
        return Mono.just(new ReplicationMessages.Acknowledgement(ready));
    }
}
