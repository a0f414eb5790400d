package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Standing, and voting for others: design 5.3. */
final class LeaderElection {
    private final Replica replica;
    private Duration electionDueAt = Duration.ZERO;
    private Map<String, String> votes = new TreeMap<>();

    LeaderElection(Replica replica) {
        this.replica = replica;
    }

    void onTick() {
        if (wasLastLeader() && replica.membership.latest().containsKey(replica.environment.self())) {
            electionDueAt = electionDueAt.isZero() ? replica.now().plus(electionTimeout()) : electionDueAt;
            if (replica.now().compareTo(electionDueAt) >= 0) {
                startElection(false);
            }
        } else if (replica.now().compareTo(replica.leaderLeaseUntil) < 0
                || !replica.membership.latest().containsKey(replica.environment.self())) {
            electionDueAt = Duration.ZERO;
        } else if (electionDueAt.isZero()) {
            electionDueAt = replica.now().plus(electionTimeout());
        } else if (replica.now().compareTo(electionDueAt) >= 0) {
            startElection(false);
        }
    }

    /**
     * Started again, and nobody else can hold a lease that was confirmed here: it was ours, and ended with our former
     * life. design 5.3
     */
    private boolean wasLastLeader() {
        return replica.term > 0 && replica.votedFor.equals(replica.environment.self()) && replica.leaderId.isEmpty();
    }

    /** The first of the wanted list stands first; the others leave it time: owners spread by placement. */
    private Duration electionTimeout() {
        Duration spread = replica.environment.timing().electionJitter();
        long jitter = Math.floorMod(replica.environment.random().getAsLong(), spread.toNanos());
        boolean first = !replica.desiredMembers.isEmpty()
                && replica.desiredMembers.get(0).equals(replica.environment.self());
        return first ? Duration.ofNanos(jitter / 8) : spread.dividedBy(2).plusNanos(jitter);
    }

    /** A dry round first, so that a replica nobody would elect does not raise the term. */
    void startElection(boolean leadershipTransferred) {
        electionDueAt = Duration.ZERO;
        replica.transitionTo(Role.CANDIDATE, "no leader");
        replica.leaderId = "";
        requestVotes(replica.term + 1, true, leadershipTransferred);
    }

    private void requestVotes(long term, boolean dry, boolean leadershipTransferred) {
        votes = new TreeMap<>(Map.of(replica.environment.self(), replica.identity));
        ReplicationMessages.VoteRequest ask = new ReplicationMessages.VoteRequest(
                replica.partition,
                term,
                replica.replicatedLog.lastIndex(),
                replica.replicatedLog.lastTerm(),
                dry,
                leadershipTransferred);
        for (String n : replica.membership.membersExcept(replica.environment.self())) {
            replica.shard.afterUnlock(() -> replica.environment
                    .rpc()
                    .call(
                            n,
                            ask,
                            ReplicationMessages.VoteResponse.class,
                            replica.environment.timing().requestTimeout())
                    .subscribe(response -> replica.shard.run(() -> onVoteResponse(n, ask, response)), e -> {}));
        }
        replica.environment
                .timers()
                .after(
                        replica.environment.timing().requestTimeout(),
                        () -> replica.shard.run(() -> {
                            if (replica.role == Role.CANDIDATE && (dry ? replica.term + 1 : replica.term) == term) {
                                replica.transitionTo(Role.FOLLOWER, "no majority in time");
                            }
                        }));
    }

    private void onVoteResponse(
            String from, ReplicationMessages.VoteRequest ask, ReplicationMessages.VoteResponse response) {
        replica.adoptTerm(response.term(), "a peer is in a later term");
        long expected = ask.preVote() ? replica.term + 1 : replica.term;
        if (replica.role != Role.CANDIDATE || ask.term() != expected || !response.granted()) {
            return;
        }
        votes.put(from, response.identity());
        if (!replica.membership.hasMajority(votes)) {
            return;
        }
        if (ask.preVote()) {
            replica.term = ask.term();
            replica.votedFor = replica.environment.self();
            long term = replica.term;
            replica.storage.storeVote(() -> {
                if (replica.role == Role.CANDIDATE && replica.term == term) {
                    requestVotes(term, false, ask.leadershipTransferred());
                }
            });
        } else {
            replica.transitionTo(Role.LEADER, "elected");
            replica.leaderId = replica.environment.self();
            replica.leader.onElected();
        }
    }

    Mono<Object> onVoteRequest(String from, ReplicationMessages.VoteRequest request) {
        boolean leaseRuns = replica.now().compareTo(replica.leaderLeaseUntil) < 0
                || (replica.role == Role.LEADER && replica.leader.leaseRunning());
        // whoever held the lease and stands now has given it up, or lost it with its former life
        boolean itsOwn = from.equals(replica.votedFor) && replica.role != Role.LEADER;
        boolean complete = request.lastTerm() > replica.replicatedLog.lastTerm()
                || (request.lastTerm() == replica.replicatedLog.lastTerm()
                        && request.lastIndex() >= replica.replicatedLog.lastIndex());
        boolean free =
                request.term() > replica.term || (request.term() == replica.term && (replica.votedFor.equals(from)));
        if (!replica.voter || (leaseRuns && !request.leadershipTransferred() && !itsOwn) || !complete || !free) {
            return Mono.just(new ReplicationMessages.VoteResponse(replica.term, false, replica.identity));
        }
        if (request.preVote()) {
            return Mono.just(new ReplicationMessages.VoteResponse(replica.term, true, replica.identity));
        }
        if (request.term() > replica.term) {
            replica.term = request.term();
            replica.leaderId = "";
            replica.votedFor = from;
            if (replica.role == Role.LEADER || replica.role == Role.CANDIDATE) {
                replica.transitionTo(Role.FOLLOWER, "voted for " + from);
            }
        }
        electionDueAt = replica.now().plus(replica.environment.timing().lease());
        long term = replica.term;
        Sinks.One<Object> out = Sinks.one();
        replica.storage.storeVote(() -> replica.shard.afterUnlock(
                () -> out.tryEmitValue(new ReplicationMessages.VoteResponse(term, true, replica.identity))));
        return out.asMono();
    }

    /** The owner has given up its lease in our favour. */
    Mono<Object> onStartElection(String from, ReplicationMessages.StartElectionRequest request) {
        boolean ready = replica.role == Role.FOLLOWER
                && replica.voter
                && request.term() == replica.term
                && from.equals(replica.leaderId);
        if (ready) {
            startElection(true);
        }
        return Mono.just(new ReplicationMessages.Acknowledgement(ready));
    }
}
