package org.woadvale.common.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.woadvale.common.replication.BootstrapMessages.AcceptRequest;
import org.woadvale.common.replication.BootstrapMessages.AcceptResponse;
import org.woadvale.common.replication.BootstrapMessages.PrepareRequest;
import org.woadvale.common.replication.BootstrapMessages.PrepareResponse;
import reactor.core.publisher.Mono;

/**
 * Bootstraps a group: a desired member proposes the initial members, and they form the group once every one of them has
 * durably accepted them. Usually the preferred leader proposes; after a delay any other desired member does, and
 * completes a proposal that was begun. (docs/design.md, section 5.7)
 */
final class Bootstrap {
    private static final Duration RETRY_PERIOD = Duration.ofMillis(300);
    /** Each further desired member waits this much longer, so that usually only one proposal is active. */
    private static final Duration DELAY_BY_RANK = Duration.ofMillis(600);

    /** How long to wait for the leader of an existing group before the members are asked again. */
    private static final Duration WAIT_FOR_LEADER = Duration.ofSeconds(3);

    private final ReplicaState state;
    private final BootstrapVoter voter;
    private Optional<BootstrapProposal> proposal = Optional.empty();
    private BootstrapBallot highest = BootstrapBallot.NONE;
    private Duration nextAttempt = Duration.ZERO;

    Bootstrap(ReplicaState state, BootstrapVoter voter) {
        this.state = state;
        this.voter = voter;
    }

    /** Proposes repeatedly until the group is bootstrapped or this replica is a member of a running group. */
    void onTick() {
        List<String> desired = desiredMembers();
        if (!state.membership().committed().isEmpty() || !desired.contains(state.self())) {
            return;
        }
        if (nextAttempt.isZero()) {
            nextAttempt = state.now().plus(DELAY_BY_RANK.multipliedBy(desired.indexOf(state.self())));
        }
        if (state.now().compareTo(nextAttempt) >= 0) {
            nextAttempt = state.now().plus(RETRY_PERIOD);
            propose(desired);
        }
    }

    /**
     * The members to ask: the current list, or else the list stored before a restart, or else the members accepted
     * last.
     */
    private List<String> desiredMembers() {
        if (!state.desiredMembers().isEmpty()) {
            return state.desiredMembers();
        }
        BootstrapState stored = state.bootstrap();
        return stored.desiredMembers().isEmpty() ? List.copyOf(stored.accepted().keySet()) : stored.desiredMembers();
    }

    private void propose(List<String> desired) {
        if (proposal.filter(currentProposal -> currentProposal.isFor(desired)).isEmpty()) {
            highest = highest.later(state.bootstrap().promised());
            BootstrapBallot ballot = new BootstrapBallot(highest.round() + 1, state.self());
            proposal = Optional.of(new BootstrapProposal(ballot, desired));
        }
        BootstrapProposal currentProposal = proposal.orElseThrow();
        if (currentProposal.members().isEmpty()) {
            currentProposal.promisesMissing().forEach(node -> askForPromise(currentProposal, node));
        } else {
            askForAcceptances(currentProposal);
        }
    }

    private void askForPromise(BootstrapProposal sentProposal, String node) {
        PrepareRequest request = new PrepareRequest(state.partition(), sentProposal.ballot());
        Consumer<PrepareResponse> onResponse = response -> onPrepareResponse(sentProposal, node, response);
        if (node.equals(state.self())) {
            receive(voter.onPrepare(request), onResponse);
        } else {
            call(node, request, PrepareResponse.class, onResponse);
        }
    }

    private void askForAcceptances(BootstrapProposal sentProposal) {
        AcceptRequest request = new AcceptRequest(state.partition(), sentProposal.ballot(), sentProposal.members());
        for (String node : sentProposal.acceptancesMissing()) {
            Consumer<AcceptResponse> onResponse = response -> onAcceptResponse(sentProposal, node, response);
            if (node.equals(state.self())) {
                receive(voter.onAccept(request), onResponse);
            } else {
                call(node, request, AcceptResponse.class, onResponse);
            }
        }
    }

    private <T> void call(String node, ReplicationRequest request, Class<T> type, Consumer<T> onResponse) {
        state.shard()
                .afterUnlock(() -> receive(
                        state.environment()
                                .rpc()
                                .call(node, request, type, state.timing().requestTimeout()),
                        onResponse));
    }

    private <T> void receive(Mono<T> response, Consumer<T> onResponse) {
        response.subscribe(value -> state.shard().run(() -> onResponse.accept(value)), e -> {});
    }

    private boolean isCurrent(BootstrapProposal sentProposal) {
        return proposal.filter(currentProposal -> currentProposal == sentProposal)
                .isPresent();
    }

    private void onPrepareResponse(BootstrapProposal sentProposal, String node, PrepareResponse response) {
        if (response.founded()) {
            voter.completeBootstrap(response.accepted());
            return;
        }
        if (response.initialized()) {
            nextAttempt = state.now().plus(WAIT_FOR_LEADER);
            return;
        }
        if (!isCurrent(sentProposal) || !sentProposal.members().isEmpty()) {
            return;
        }
        if (!response.promised()) {
            yieldTo(response.highest());
            return;
        }
        sentProposal.onPromise(node, response);
        if (!sentProposal.members().isEmpty()) {
            askForAcceptances(sentProposal);
        }
    }

    private void onAcceptResponse(BootstrapProposal sentProposal, String node, AcceptResponse response) {
        if (!isCurrent(sentProposal)) {
            return;
        }
        if (!response.accepted()) {
            yieldTo(response.highest());
        } else if (sentProposal.onAccepted(node)) {
            proposal = Optional.empty();
            onAgreed(sentProposal.members());
        }
    }

    private void onAgreed(Map<String, String> members) {
        voter.completeBootstrap(members);
        members.forEach((node, identity) -> {
            if (!node.equals(state.self())) {
                call(
                        node,
                        new ReplicationMessages.BootstrapRequest(state.partition(), identity, members),
                        ReplicationMessages.Acknowledgement.class,
                        acknowledgement -> {});
            }
        });
    }

    /** Abandons this replica's proposal because another one was promised; the next proposal is later than that one. */
    private void yieldTo(BootstrapBallot promised) {
        proposal = Optional.empty();
        highest = highest.later(promised);
        deferToAnother();
    }

    /** Delays the next attempt to give another member time to complete its proposal. */
    private void deferToAnother() {
        int rank = Math.max(0, desiredMembers().indexOf(state.self()));
        Duration until = state.now().plus(RETRY_PERIOD).plus(DELAY_BY_RANK.multipliedBy(rank));
        nextAttempt = nextAttempt.compareTo(until) < 0 ? until : nextAttempt;
    }

    /** Handles a prepare request of another member. */
    Mono<PrepareResponse> onPrepare(PrepareRequest request) {
        if (state.bootstrap().promised().isBefore(request.ballot())) {
            deferToAnother();
        }
        return voter.onPrepare(request);
    }
}
