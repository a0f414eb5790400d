package org.woadvale.common.replication;

import org.woadvale.common.rpc.RepeatableRequest;

/** A request from one replica of a partition to another; each may be repeated. */
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
    /** The partition of the replica that the request is for. */
    String partition();
}
