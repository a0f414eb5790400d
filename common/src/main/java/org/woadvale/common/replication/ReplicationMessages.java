package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import reactor.core.publisher.Mono;

/** What replicas of one part say to each other. */
public final class ReplicationMessages {
    private ReplicationMessages() {}

    public record VoteRequest(
            @FirstFormatName("part") String partition,
            long term,
            long lastIndex,
            long lastTerm,
            @FirstFormatName("dry") boolean preVote,
            boolean leadershipTransferred)
            implements RepeatableRequest {}

    public record VoteResponse(long term, boolean granted, String identity) {}

    public record AppendEntriesRequest(
            String partition, long term, long prevIndex, long prevTerm, List<LogEntry> entries, long commitIndex)
            implements RepeatableRequest {}

    public record AppendEntriesResponse(
            long term,
            @FirstFormatName("ok") boolean success,
            @FirstFormatName("match") long matchIndex,
            String identity,
            @FirstFormatName("willing") boolean electable) {}

    public record InstallSnapshotRequest(
            @FirstFormatName("part") String partition,
            long term,
            @FirstFormatName("base") ReplicaSnapshot snapshot) implements RepeatableRequest {}

    public record BootstrapStatusRequest(String partition) implements RepeatableRequest {}

    public record BootstrapStatusResponse(
            @FirstFormatName("blank") boolean uninitialized, String identity) {}

    /** Accepted only by the very identity that reported blank: design 5.5. */
    public record BootstrapRequest(
            @FirstFormatName("part") String partition,
            String identity,
            @FirstFormatName("group") Map<String, String> members)
            implements RepeatableRequest {}

    public record StartElectionRequest(String partition, long term) implements RepeatableRequest {}

    public record Acknowledgement(boolean accepted) {}

    /** All that a part needs to go on from: replaces every earlier record. */
    public record ReplicaSnapshot(
            String identity,
            long term,
            String votedFor,
            @FirstFormatName("sworn") boolean voter,
            long index,
            long indexTerm,
            @FirstFormatName("group") Map<String, String> members,
            @FirstFormatName("machine") byte[] state,
            @FirstFormatName("tail") List<LogEntry> entries) {}

    /** Every ask of replicas goes to the replica of its part here. */
    public static RpcRouter route(RpcRouter router, Function<String, Mono<Replica>> at) {
        return router.on(
                        VoteRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        AppendEntriesRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        InstallSnapshotRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        StartElectionRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        BootstrapStatusRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        BootstrapRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)))
                .on(
                        SnapshotMessages.SnapshotChunkRequest.class,
                        (f, chunk) -> at.apply(chunk.partition()).flatMap(replica -> replica.handle(f, chunk)))
                .on(
                        SnapshotMessages.RevokeIdentityRequest.class,
                        (f, request) -> at.apply(request.partition()).flatMap(replica -> replica.handle(f, request)));
    }

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
