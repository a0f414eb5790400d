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
 * Founds a group: a desired member proposes the first members, and they are the group once every one of them has
 * accepted that on its disk. Usually the preferred leader proposes; any other desired member does after a while, and
 * carries on what was begun. (docs/design.md, section 5.7)
 */
final class Bootstrap {
    private static final Duration RETRY_PERIOD = Duration.ofMillis(300);
    /** Each further desired member waits so much longer, so that one proposal is usually alone. */
    private static final Duration DELAY_BY_RANK = Duration.ofMillis(600);

    /** Where a group exists already, its leader is waited for; it is asked again in case it does not come. */
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

    /** Proposes, again and again, until the group is founded or this replica is a member of a running one. */
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

    /** Who is to be asked: as told, or else as this replica was told before a restart. */
    private List<String> desiredMembers() {
        if (!state.desiredMembers().isEmpty()) {
            return state.desiredMembers();
        }
        BootstrapState stored = state.bootstrap();
        return stored.desiredMembers().isEmpty() ? List.copyOf(stored.accepted().keySet()) : stored.desiredMembers();
    }

    private void propose(List<String> desired) {
        if (proposal.filter(present -> present.isFor(desired)).isEmpty()) {
            highest = highest.later(state.bootstrap().promised());
            BootstrapBallot ballot = new BootstrapBallot(highest.round() + 1, state.self());
            proposal = Optional.of(new BootstrapProposal(ballot, desired));
        }
        BootstrapProposal present = proposal.orElseThrow();
        if (present.members().isEmpty()) {
            present.promisesMissing().forEach(node -> askForPromise(present, node));
        } else {
            askForAcceptances(present);
        }
    }

    private void askForPromise(BootstrapProposal asked, String node) {
        PrepareRequest request = new PrepareRequest(state.partition(), asked.ballot());
        Consumer<PrepareResponse> onResponse = response -> onPrepareResponse(asked, node, response);
        if (node.equals(state.self())) {
            receive(voter.onPrepare(request), onResponse);
        } else {
            call(node, request, PrepareResponse.class, onResponse);
        }
    }

    private void askForAcceptances(BootstrapProposal asked) {
        AcceptRequest request = new AcceptRequest(state.partition(), asked.ballot(), asked.members());
        for (String node : asked.acceptancesMissing()) {
            Consumer<AcceptResponse> onResponse = response -> onAcceptResponse(asked, node, response);
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

    private boolean isPresent(BootstrapProposal asked) {
        return proposal.filter(present -> present == asked).isPresent();
    }

    private void onPrepareResponse(BootstrapProposal asked, String node, PrepareResponse response) {
        if (response.founded()) {
            voter.completeBootstrap(response.accepted());
            return;
        }
        if (response.initialized()) {
            nextAttempt = state.now().plus(WAIT_FOR_LEADER);
            return;
        }
        if (!isPresent(asked) || !asked.members().isEmpty()) {
            return;
        }
        if (!response.promised()) {
            giveWayTo(response.highest());
            return;
        }
        asked.onPromise(node, response);
        if (!asked.members().isEmpty()) {
            askForAcceptances(asked);
        }
    }

    private void onAcceptResponse(BootstrapProposal asked, String node, AcceptResponse response) {
        if (!isPresent(asked)) {
            return;
        }
        if (!response.accepted()) {
            giveWayTo(response.highest());
        } else if (asked.onAccepted(node)) {
            proposal = Optional.empty();
            onAgreed(asked.members());
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

    /** This replica's proposal is not taken any more; the next one is later than the one that was promised. */
    private void giveWayTo(BootstrapBallot promised) {
        proposal = Optional.empty();
        highest = highest.later(promised);
        deferToAnother();
    }

    /** Another member proposes: it is given the time for it. */
    private void deferToAnother() {
        int rank = Math.max(0, desiredMembers().indexOf(state.self()));
        Duration until = state.now().plus(RETRY_PERIOD).plus(DELAY_BY_RANK.multipliedBy(rank));
        nextAttempt = nextAttempt.compareTo(until) < 0 ? until : nextAttempt;
    }

    /** A prepare request of another member. */
    Mono<PrepareResponse> onPrepare(PrepareRequest request) {
        if (state.bootstrap().promised().isBefore(request.ballot())) {
            deferToAnother();
        }
        return voter.onPrepare(request);
    }
}
