package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.Since;
import reactor.core.publisher.Mono;

/** What the replicas of one partition say to each other; every build must read what another one sends. */
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
     * A candidate asks for a vote. A pre-vote changes nothing; a transferred leadership may overrule a running lease.
     */
    public record VoteRequest(
            @FirstFormatName("part") String partition,
            long term,
            long lastIndex,
            long lastTerm,
            @FirstFormatName("dry") boolean preVote,
            boolean leadershipTransferred)
            implements ReplicationRequest {}

    /** The answer to a candidate: the term of the voter, and under which identity it counts. */
    public record VoteResponse(long term, boolean granted, String identity) {}

    /** Entries after an index, or none as a heartbeat; with how far the leader has committed. */
    public record AppendEntriesRequest(
            String partition, long term, long prevIndex, long prevTerm, List<LogEntry> entries, long commitIndex)
            implements ReplicationRequest {}

    /** Up to where the log of the follower matches and is synced; where it does not match, where to go on from. */
    public record AppendEntriesResponse(
            long term,
            @FirstFormatName("ok") boolean success,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    /** A snapshot in one request, for builds that do not know chunks. */
    public record InstallSnapshotRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("base") ReplicaSnapshot snapshot) implements ReplicationRequest {}

    /** Asks a desired member whether it has nothing stored; asked by builds that do not know {@link BootstrapMessages}. */
    public record BootstrapStatusRequest(String partition) implements ReplicationRequest {}

    /** Whether a replica has nothing stored, and its identity. */
    public record BootstrapStatusResponse(
            @FirstFormatName("blank") boolean uninitialized, String identity) {}

    /**
     * Makes the receiver a member of a new group; accepted only by the very identity that reported that it has nothing.
     */
    public record BootstrapRequest(
            @FirstFormatName("part") String partition,
            String identity,
            @FirstFormatName("group") Map<String, String> members)
            implements ReplicationRequest {}

    /** The leader has given up its lease in favour of the receiver. */
    public record StartElectionRequest(String partition, long term) implements ReplicationRequest {}

    /** Whether a request was accepted. */
    public record Acknowledgement(boolean accepted) {}

    /**
     * All that a replica needs to go on from; on disk it replaces every earlier record of its partition.
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

    /** Hands each request to the replica of its partition on this node. */
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

    /** All types by their numbers on the wire: only ever add at the end. */
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
