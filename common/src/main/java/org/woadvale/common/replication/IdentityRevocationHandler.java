package org.woadvale.common.replication;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.replication.ReplicationMessages.Acknowledgement;
import org.woadvale.common.replication.SnapshotMessages.RevokeIdentityRequest;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Replaces the identity of a replica whose leader has detected that its disk lost acknowledged entries. */
final class IdentityRevocationHandler {
    private static final Logger LOG = LogManager.getLogger(IdentityRevocationHandler.class);

    private final ReplicaState state;
    private final ReplicaStorage storage;

    IdentityRevocationHandler(ReplicaState state, ReplicaStorage storage) {
        this.state = state;
        this.storage = storage;
    }

    /** Accepts a revocation only from the leader of this term, and only of the current identity. */
    Mono<Acknowledgement> onRevokeIdentity(String from, RevokeIdentityRequest request) {
        boolean applies = request.term() == state.term()
                && from.equals(state.leaderId())
                && request.identity().equals(state.identity());
        boolean isFollowing = state.role() == Role.FOLLOWER || state.role() == Role.UNINITIALIZED;
        if (!applies || !isFollowing) {
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
