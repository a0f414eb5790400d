package org.woadvale.common.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import reactor.core.publisher.Mono;

/** What replicas of one part say to each other. */
public final class Messages {
    private Messages() {}

    public record VoteAsk(
            String part, long term, long lastIndex, long lastTerm, boolean dry, boolean leadershipTransferred)
            implements RepeatableRequest {}

    public record VoteReply(long term, boolean granted, String identity) {}

    public record AppendAsk(String part, long term, long prevIndex, long prevTerm, List<LogEntry> items, long commit)
            implements RepeatableRequest {}

    public record AppendReply(long term, boolean ok, long match, String identity, boolean willing) {}

    public record ViewPush(String part, long term, Base base) implements RepeatableRequest {}

    public record BlankAsk(String part) implements RepeatableRequest {}

    public record BlankReply(boolean blank, String identity) {}

    /** Accepted only by the very identity that reported blank: design 5.5. */
    public record Found(String part, String identity, Map<String, String> group) implements RepeatableRequest {}

    public record Stand(String part, long term) implements RepeatableRequest {}

    public record Ok(boolean ok) {}

    /** All that a part needs to go on from: replaces every earlier record. */
    public record Base(
            String identity,
            long term,
            String votedFor,
            @FirstFormatName("sworn") boolean voter,
            long index,
            long indexTerm,
            Map<String, String> group,
            byte[] machine,
            List<LogEntry> tail) {}

    /** Every ask of replicas goes to the replica of its part here. */
    public static RpcRouter route(RpcRouter router, Function<String, Mono<Replica>> at) {
        return router.on(VoteAsk.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(AppendAsk.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(ViewPush.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(Stand.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(BlankAsk.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(Found.class, (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(
                        SnapshotMessages.SnapshotPiece.class,
                        (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)))
                .on(
                        SnapshotMessages.IdentityRevoked.class,
                        (f, a) -> at.apply(a.part()).flatMap(r -> r.handle(f, a)));
    }

    public static List<Class<?>> types() {
        return List.of(
                VoteAsk.class,
                VoteReply.class,
                AppendAsk.class,
                AppendReply.class,
                ViewPush.class,
                BlankAsk.class,
                BlankReply.class,
                Found.class,
                Stand.class,
                Ok.class,
                Base.class,
                LogEntry.class,
                LogEntry.Kind.class);
    }
}
