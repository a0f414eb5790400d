package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.woadvale.common.replication.ReplicationMessages.Acknowledgement;
import org.woadvale.common.replication.ReplicationMessages.StartElectionRequest;
import org.woadvale.common.replication.ReplicationMessages.VoteRequest;
import org.woadvale.common.replication.ReplicationMessages.VoteResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Runs the candidacies of this replica and handles vote requests from other candidates. */
final class LeaderElection {
    /** The preferred leader waits at most the jitter divided by this, so that it is usually the first candidate. */
    private static final int PREFERRED_FRACTION = 8;

    private final ReplicaState state;
    private final VoteStore votes;
    private final BooleanSupplier ownLeaseRunning;
    private final Runnable onElected;
    private Duration electionDueAt = Duration.ZERO;
    private Map<String, String> votesReceived = new TreeMap<>();

    /**
     * Creates the elections of one replica.
     *
     * @param ownLeaseRunning whether this replica's own lease is running, while it leads
     * @param onElected runs when this replica has become leader
     */
    LeaderElection(ReplicaState state, VoteStore votes, BooleanSupplier ownLeaseRunning, Runnable onElected) {
        this.state = state;
        this.votes = votes;
        this.ownLeaseRunning = ownLeaseRunning;
        this.onElected = onElected;
    }

    /** Called on a follower: starts an election once no lease can be running and the election timeout has passed. */
    void onTick() {
        boolean member = state.membership().latest().containsKey(state.self());
        if (!member || state.leaderLeaseMayRun() && !wasLastLeader()) {
            electionDueAt = Duration.ZERO;
            return;
        }
        if (electionDueAt.isZero()) {
            electionDueAt = state.now().plus(electionTimeout());
            if (!wasLastLeader()) {
                return;
            }
        }
        if (state.now().compareTo(electionDueAt) >= 0) {
            startElection(false);
        }
    }

    /**
     * True after a restart if the lease confirmed last was this node's own: it ended with the node's previous process,
     * so no other node can hold one.
     */
    private boolean wasLastLeader() {
        return state.term() > 0
                && state.votedFor().equals(state.self())
                && state.leaderId().isEmpty();
    }

    /**
     * Shorter for the preferred leader, which usually becomes a candidate first, so that leaders are distributed as the
     * placement asks.
     */
    private Duration electionTimeout() {
        Duration jitter = state.timing().electionJitter();
        long random = Math.floorMod(state.environment().random().getAsLong(), jitter.toNanos());
        return state.isPreferredLeader()
                ? Duration.ofNanos(random / PREFERRED_FRACTION)
                : jitter.dividedBy(2).plusNanos(random);
    }

    /** Starts with a pre-vote, so that a replica that cannot win does not raise the term. */
    private void startElection(boolean leadershipTransferred) {
        electionDueAt = Duration.ZERO;
        state.transitionTo(Role.CANDIDATE, leadershipTransferred ? "leadership transferred" : "no leader");
        if (leadershipTransferred) {
            state.becomeCandidateByTransfer();
        }
        state.forgetLeader();
        requestVotes(state.term() + 1, true, leadershipTransferred);
    }

    private void requestVotes(long term, boolean preVote, boolean leadershipTransferred) {
        votesReceived = new TreeMap<>(Map.of(state.self(), state.identity()));
        VoteRequest request = new VoteRequest(
                state.partition(),
                term,
                state.log().lastIndex(),
                state.log().lastTerm(),
                preVote,
                leadershipTransferred);
        NodeEnvironment environment = state.environment();
        Duration timeout = state.timing().requestTimeout();
        for (String node : state.membership().membersExcept(state.self())) {
            state.shard()
                    .afterUnlock(() -> environment
                            .rpc()
                            .call(node, request, VoteResponse.class, timeout)
                            .subscribe(
                                    response -> state.shard().run(() -> onVoteResponse(node, request, response)),
                                    e -> {}));
        }
        environment.timers().after(timeout, () -> state.shard().run(() -> onTimeout(request)));
    }

    /** The term that the current round of votes asks for: a pre-vote asks for the term after the current one. */
    private long requestedTerm(VoteRequest request) {
        return request.preVote() ? state.term() + 1 : state.term();
    }

    private void onTimeout(VoteRequest request) {
        if (state.role() == Role.CANDIDATE && requestedTerm(request) == request.term()) {
            state.transitionTo(Role.FOLLOWER, "no majority in time");
        }
    }

    private void onVoteResponse(String from, VoteRequest request, VoteResponse response) {
        votes.adoptTerm(response.term(), "a peer is in a later term");
        boolean isCurrentRound = state.role() == Role.CANDIDATE && request.term() == requestedTerm(request);
        if (!isCurrentRound || !response.granted()) {
            return;
        }
        votesReceived.put(from, response.identity());
        if (!state.membership().hasMajority(votesReceived)) {
            return;
        }
        if (request.preVote()) {
            voteForSelf(request);
        } else {
            state.transitionTo(Role.LEADER, "elected");
            state.setSelfAsLeader();
            onElected.run();
        }
    }

    private void voteForSelf(VoteRequest preVote) {
        long term = preVote.term();
        state.voteFor(term, state.self());
        votes.store(() -> {
            if (state.role() == Role.CANDIDATE && state.term() == term) {
                requestVotes(term, false, preVote.leadershipTransferred());
            }
        });
    }

    /** Handles a vote request; a granted vote is on disk before the response is sent. */
    Mono<VoteResponse> onVoteRequest(String from, VoteRequest request) {
        if (!mayGrant(from, request)) {
            return Mono.just(new VoteResponse(state.term(), false, state.identity()));
        }
        if (request.preVote()) {
            return Mono.just(new VoteResponse(state.term(), true, state.identity()));
        }
        if (request.term() > state.term()) {
            state.forgetLeader();
            state.voteFor(request.term(), from);
            if (state.role() == Role.LEADER || state.role() == Role.CANDIDATE) {
                state.transitionTo(Role.FOLLOWER, "voted for " + from);
            }
        }
        electionDueAt = state.now().plus(state.timing().lease());
        long term = state.term();
        Sinks.One<VoteResponse> response = Sinks.one();
        votes.store(() ->
                state.shard().afterUnlock(() -> response.tryEmitValue(new VoteResponse(term, true, state.identity()))));
        return response.asMono();
    }

    private boolean mayGrant(String from, VoteRequest request) {
        boolean leaseRuns = state.leaderLeaseMayRun() || state.isLeader() && ownLeaseRunning.getAsBoolean();
        // the candidate is the last leader: it relinquished its lease, or lost it with its previous process
        boolean formerLeader = from.equals(state.votedFor()) && !state.isLeader();
        if (leaseRuns && !request.leadershipTransferred() && !formerLeader) {
            return false;
        }
        boolean voteAvailable = request.term() > state.term()
                || request.term() == state.term() && state.votedFor().equals(from);
        return state.isVoter() && voteAvailable && isLogComplete(request);
    }

    /** Whether the candidate's log has every entry that may be committed, as far as this replica can tell. */
    private boolean isLogComplete(VoteRequest request) {
        ReplicatedLog log = state.log();
        return request.lastTerm() > log.lastTerm()
                || request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex();
    }

    /** Handles a leadership transfer: the leader has relinquished its lease in favour of this replica. */
    Mono<Acknowledgement> onStartElection(String from, StartElectionRequest request) {
        boolean accepted = state.role() == Role.FOLLOWER
                && state.isVoter()
                && request.term() == state.term()
                && from.equals(state.leaderId());
        if (accepted) {
            startElection(true);
        }
        return Mono.just(new Acknowledgement(accepted));
    }
}
