package org.woadvale.common.replication;

import org.woadvale.common.rpc.RepeatableRequest;

/** A request from one replica of a partition to another; each may be sent again. */
public sealed interface ReplicationRequest extends RepeatableRequest
        permits ReplicationMessages.VoteRequest,
                ReplicationMessages.AppendEntriesRequest,
                ReplicationMessages.InstallSnapshotRequest,
                ReplicationMessages.BootstrapStatusRequest,
                ReplicationMessages.BootstrapRequest,
                ReplicationMessages.StartElectionRequest,
                SnapshotMessages.SnapshotChunkRequest,
                SnapshotMessages.RevokeIdentityRequest,
                BootstrapMessages.PrepareRequest,
                BootstrapMessages.AcceptRequest {
    /** The partition whose replica is meant. */
    String partition();
}
