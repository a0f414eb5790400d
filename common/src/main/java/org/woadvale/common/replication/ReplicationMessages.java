package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.Since;
import reactor.core.publisher.Mono;

/** Messages between the replicas of a partition; every build must be able to read what another build sends. */
public final class ReplicationMessages {
    private static final List<Class<? extends ReplicationRequest>> REQUESTS = List.of(
            VoteRequest.class,
            AppendEntriesRequest.class,
            InstallSnapshotRequest.class,
            StartElectionRequest.class,
            BootstrapStatusRequest.class,
            BootstrapRequest.class,
            SnapshotMessages.SnapshotChunkRequest.class,
            SnapshotMessages.RevokeIdentityRequest.class,
            BootstrapMessages.PrepareRequest.class,
            BootstrapMessages.AcceptRequest.class);

    private ReplicationMessages() {}

    /**
     * A candidate's request for a vote. A pre-vote changes no state; a transfer of leadership may override a running
     * lease.
     */
    public record VoteRequest(
            @FirstFormatName("part") String partition,
            long term,
            long lastIndex,
            long lastTerm,
            @FirstFormatName("dry") boolean preVote,
            boolean leadershipTransferred)
            implements ReplicationRequest {}

    /** The response to a vote request: the voter's term, and the identity under which it counts. */
    public record VoteResponse(long term, boolean granted, String identity) {}

    /** Entries after an index, or none for a heartbeat, and the leader's commit index. */
    public record AppendEntriesRequest(
            String partition, long term, long prevIndex, long prevTerm, List<LogEntry> entries, long commitIndex)
            implements ReplicationRequest {}

    /** The index up to which the follower's log matches and is synced; on a mismatch, the index to continue from. */
    public record AppendEntriesResponse(
            long term,
            @FirstFormatName("ok") boolean success,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    /** A snapshot in a single request, for builds that do not support chunks. */
    public record InstallSnapshotRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("base") ReplicaSnapshot snapshot) implements ReplicationRequest {}

    /**
     * Asks a desired member whether it has nothing stored; sent by builds that do not support {@link
     * BootstrapMessages}.
     */
    public record BootstrapStatusRequest(String partition) implements ReplicationRequest {}

    /** Whether a replica has nothing stored, and its identity. */
    public record BootstrapStatusResponse(
            @FirstFormatName("blank") boolean uninitialized, String identity) {}

    /**
     * Makes the receiver a member of a new group; accepted only under the identity with which the receiver reported
     * that it has nothing stored.
     */
    public record BootstrapRequest(
            @FirstFormatName("part") String partition,
            String identity,
            @FirstFormatName("group") Map<String, String> members)
            implements ReplicationRequest {}

    /** Asks the receiver to start an election: the leader has relinquished its lease in the receiver's favour. */
    public record StartElectionRequest(String partition, long term) implements ReplicationRequest {}

    /** Whether a request was accepted. */
    public record Acknowledgement(boolean accepted) {}

    /**
     * The complete state of a replica; on disk it replaces every earlier record of its partition.
     *
     * @param bootstrap the {@link BootstrapState} as the codec writes it, so that builds that do not know it read the
     *     rest; empty for none
     */
    public record ReplicaSnapshot(
            String identity,
            long term,
            String votedFor,
            @FirstFormatName("sworn") boolean voter,
            long index,
            long indexTerm,
            @FirstFormatName("group") Map<String, String> members,
            @FirstFormatName("machine") byte[] state,
            @FirstFormatName("tail") List<LogEntry> entries,
            @Since(5) byte[] bootstrap) {}

    /** Routes each request to the replica of its partition on this node. */
    public static <T extends Replica<?, ?>> RpcRouter route(RpcRouter router, Function<String, Mono<T>> replicaOf) {
        for (Class<? extends ReplicationRequest> type : REQUESTS) {
            routeType(router, type, replicaOf);
        }
        return router;
    }

    private static <Q extends ReplicationRequest, T extends Replica<?, ?>> void routeType(
            RpcRouter router, Class<Q> type, Function<String, Mono<T>> replicaOf) {
        router.on(
                type,
                (from, request) ->
                        replicaOf.apply(request.partition()).flatMap(replica -> replica.handle(from, request)));
    }

    /** All types in the order of their numbers on the wire: append only at the end. */
    public static List<Class<?>> types() {
        return List.of(
                VoteRequest.class,
                VoteResponse.class,
                AppendEntriesRequest.class,
                AppendEntriesResponse.class,
                InstallSnapshotRequest.class,
                BootstrapStatusRequest.class,
                BootstrapStatusResponse.class,
                BootstrapRequest.class,
                StartElectionRequest.class,
                Acknowledgement.class,
                ReplicaSnapshot.class,
                LogEntry.class,
                LogEntry.Kind.class);
    }
}
