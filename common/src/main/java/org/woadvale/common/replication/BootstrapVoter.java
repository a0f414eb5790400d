package org.woadvale.common.replication;

import java.util.Map;
import java.util.function.Supplier;
import org.woadvale.common.replication.BootstrapMessages.AcceptRequest;
import org.woadvale.common.replication.BootstrapMessages.AcceptResponse;
import org.woadvale.common.replication.BootstrapMessages.PrepareRequest;
import org.woadvale.common.replication.BootstrapMessages.PrepareResponse;
import org.woadvale.common.replication.ReplicationMessages.Acknowledgement;
import org.woadvale.common.replication.ReplicationMessages.BootstrapRequest;
import org.woadvale.common.replication.ReplicationMessages.BootstrapStatusResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * This replica's part in the agreement on the first members of its group: promises and acceptances are on disk before
 * they are answered, and the replica votes only once the group is founded. (docs/design.md, section 5.7)
 */
final class BootstrapVoter {
    private final ReplicaState state;
    private final ReplicaStorage storage;
    private final VoterPromotion promotion;

    BootstrapVoter(ReplicaState state, ReplicaStorage storage, VoterPromotion promotion) {
        this.state = state;
        this.storage = storage;
        this.promotion = promotion;
    }

    /** Promises to take no earlier proposal, unless a later one was promised or the replica has a log already. */
    Mono<PrepareResponse> onPrepare(PrepareRequest request) {
        if (!state.canBootstrap() || request.ballot().isBefore(state.bootstrap().promised())) {
            return Mono.just(prepareResponse(request.ballot()));
        }
        state.setBootstrap(state.bootstrap().withPromise(request.ballot()));
        return answerWhenStored(() -> prepareResponse(request.ballot()));
    }

    /** Promised only as long as no later proposal has come while the promise was written. */
    private PrepareResponse prepareResponse(BootstrapBallot ballot) {
        BootstrapState bootstrap = state.bootstrap();
        return new PrepareResponse(
                state.canBootstrap() && bootstrap.promised().equals(ballot),
                !state.canBootstrap(),
                bootstrap.promised(),
                state.identity(),
                bootstrap.acceptedIn(),
                bootstrap.accepted(),
                bootstrap.founded());
    }

    /** Accepts the members, unless a later proposal was promised or they name another identity. */
    Mono<AcceptResponse> onAccept(AcceptRequest request) {
        boolean named = state.identity().equals(request.members().get(state.self()));
        if (!state.canBootstrap()
                || !named
                || request.ballot().isBefore(state.bootstrap().promised())) {
            return Mono.just(new AcceptResponse(false, state.bootstrap().promised()));
        }
        state.setBootstrap(state.bootstrap().withAccepted(request.ballot(), request.members()));
        return answerWhenStored(() -> new AcceptResponse(
                state.bootstrap().acceptedIn().equals(request.ballot()),
                state.bootstrap().promised()));
    }

    private <T> Mono<T> answerWhenStored(Supplier<T> answer) {
        Sinks.One<T> response = Sinks.one();
        storage.storeSnapshot(() -> {
            T value = answer.get();
            state.shard().afterUnlock(() -> response.tryEmitValue(value));
        });
        return response.asMono();
    }

    /** Accepted only by the very identity that the members name. */
    Mono<Acknowledgement> onBootstrap(BootstrapRequest request) {
        boolean accepted = request.identity().equals(state.identity()) && completeBootstrap(request.members());
        return Mono.just(new Acknowledgement(accepted));
    }

    /** Of builds that found a group without agreement: whether nothing is stored here. */
    Mono<BootstrapStatusResponse> onStatusRequest() {
        boolean nothingStored =
                state.canBootstrap() && state.bootstrap().accepted().isEmpty();
        return Mono.just(new BootstrapStatusResponse(nothingStored, state.identity()));
    }

    /** The group has these first members: votes from here on, if they name this replica and it does not vote yet. */
    boolean completeBootstrap(Map<String, String> members) {
        boolean waiting = state.role() == Role.UNINITIALIZED
                && state.membership().committed().isEmpty();
        if (!waiting || !state.identity().equals(members.get(state.self()))) {
            return false;
        }
        state.setBootstrap(state.bootstrap().withFounded(members));
        state.membership().setInitialMembers(members);
        state.expireLeaderLease();
        promotion.promote("bootstrapped");
        return true;
    }
}
