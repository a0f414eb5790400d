package org.woadvale.common.replication;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.replication.ReplicationMessages.Acknowledgement;
import org.woadvale.common.replication.SnapshotMessages.RevokeIdentityRequest;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Gives a replica another identity when its leader has found that its disk lost entries which it had acknowledged. */
final class IdentityRevocationHandler {
    private static final Logger LOG = LogManager.getLogger(IdentityRevocationHandler.class);

    private final ReplicaState state;
    private final ReplicaStorage storage;

    IdentityRevocationHandler(ReplicaState state, ReplicaStorage storage) {
        this.state = state;
        this.storage = storage;
    }

    /** Only the leader of this term can revoke, and only the identity that it heard. */
    Mono<Acknowledgement> onRevokeIdentity(String from, RevokeIdentityRequest request) {
        boolean concerned = request.term() == state.term()
                && from.equals(state.leaderId())
                && request.identity().equals(state.identity());
        boolean follows = state.role() == Role.FOLLOWER || state.role() == Role.UNINITIALIZED;
        if (!concerned || !follows) {
            return Mono.just(new Acknowledgement(false));
        }
        LOG.error(
                "Partition {} at {} lost entries that it had acknowledged: the replica counts as lost.",
                state.partition(),
                state.self());
        Sinks.One<Acknowledgement> sink = Sinks.one();
        storage.replaceIdentity(() -> state.shard().afterUnlock(() -> sink.tryEmitValue(new Acknowledgement(true))));
        state.transitionTo(Role.UNINITIALIZED, "its identity was revoked");
        return sink.asMono();
    }
}
