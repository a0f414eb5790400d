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
 * Handles proposals of the group's initial members: promises and acceptances are on disk before the response is sent,
 * and the replica votes only once the group is bootstrapped. (docs/design.md, section 5.7)
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

    /** Promises to accept no earlier proposal, unless a later one was promised or the replica already has a log. */
    Mono<PrepareResponse> onPrepare(PrepareRequest request) {
        if (!state.canBootstrap() || request.ballot().isBefore(state.bootstrap().promised())) {
            return Mono.just(prepareResponse(request.ballot()));
        }
        state.setBootstrap(state.bootstrap().withPromise(request.ballot()));
        return respondWhenStored(() -> prepareResponse(request.ballot()));
    }

    /** Reports a promise only if no later proposal was promised while this one was being written. */
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
        boolean namesThisReplica = state.identity().equals(request.members().get(state.self()));
        if (!state.canBootstrap()
                || !namesThisReplica
                || request.ballot().isBefore(state.bootstrap().promised())) {
            return Mono.just(new AcceptResponse(false, state.bootstrap().promised()));
        }
        state.setBootstrap(state.bootstrap().withAccepted(request.ballot(), request.members()));
        return respondWhenStored(() -> new AcceptResponse(
                state.bootstrap().acceptedIn().equals(request.ballot()),
                state.bootstrap().promised()));
    }

    private <T> Mono<T> respondWhenStored(Supplier<T> answer) {
        Sinks.One<T> response = Sinks.one();
        storage.storeSnapshot(() -> {
            T value = answer.get();
            state.shard().afterUnlock(() -> response.tryEmitValue(value));
        });
        return response.asMono();
    }

    /** Accepts the request only if it is for this replica's identity and the members name that identity. */
    Mono<Acknowledgement> onBootstrap(BootstrapRequest request) {
        boolean accepted = request.identity().equals(state.identity()) && completeBootstrap(request.members());
        return Mono.just(new Acknowledgement(accepted));
    }

    /** Responds to builds that bootstrap a group without this agreement: whether nothing is stored here. */
    Mono<BootstrapStatusResponse> onStatusRequest() {
        boolean nothingStored =
                state.canBootstrap() && state.bootstrap().accepted().isEmpty();
        return Mono.just(new BootstrapStatusResponse(nothingStored, state.identity()));
    }

    /**
     * Completes the bootstrap with the agreed members: if they include this replica's identity and it is in no group
     * yet, it votes from now on. Returns whether it does.
     */
    boolean completeBootstrap(Map<String, String> members) {
        boolean awaitsBootstrap = state.role() == Role.UNINITIALIZED
                && state.membership().committed().isEmpty();
        if (!awaitsBootstrap || !state.identity().equals(members.get(state.self()))) {
            return false;
        }
        state.setBootstrap(state.bootstrap().withFounded(members));
        state.membership().setInitialMembers(members);
        state.expireLeaderLease();
        promotion.promote("bootstrapped");
        return true;
    }
}
