package org.woadvale.common.replication;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Promotes a replica to a voter: after bootstrap, or once a committed membership change names its identity. */
final class VoterPromotion {
    private static final Logger LOG = LogManager.getLogger(VoterPromotion.class);

    private final ReplicaState state;
    private final ReplicaStorage storage;

    VoterPromotion(ReplicaState state, ReplicaStorage storage) {
        this.state = state;
        this.storage = storage;
    }

    /**
     * Promotes this replica if the committed members name its identity; that entry was committed without its own vote.
     */
    void promoteIfMember() {
        String memberIdentity = state.membership().committed().get(state.self());
        if (state.role() == Role.UNINITIALIZED && state.identity().equals(memberIdentity)) {
            LOG.info("Partition {} at {} has caught up and votes again.", state.partition(), state.self());
            promote("named by a committed membership entry");
        }
    }

    void promote(String reason) {
        state.becomeVoter();
        state.transitionTo(Role.FOLLOWER, reason);
        storage.storeSnapshot();
    }
}
