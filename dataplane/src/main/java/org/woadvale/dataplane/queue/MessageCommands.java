package org.woadvale.dataplane.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/** Commands in the logs of message partitions, and requests between data plane nodes. */
public final class MessageCommands {
    private MessageCommands() {}

    /** A command in the log of a message partition. */
    public sealed interface MessageCommand {}

    /** The result of applying a command to a message partition. */
    public sealed interface MessageResult {}

    /** How an attempt ended. An attempt whose lease lapsed ends as OUTCOME_UNKNOWN. (docs/design.md, section 9.11) */
    public enum AttemptOutcome {
        /** The message was executed, with proof. */
        SUCCEEDED,
        /** The message will not be attempted again. */
        FAILED,
        /** The message was not executed, or may be run again although that is unknown; counts as an attempt. */
        RETRY,
        /** The message was not sent, or the processor did not take it; does not count as an attempt. */
        NOT_SENT,
        /** The outcome is unknown: the message may run again, and this does not count as an attempt. */
        OUTCOME_UNKNOWN
    }

    /** Accepts a message. */
    public record Accept(
            String tenant,
            String lane,
            String id,
            String orderKey,
            byte[] body,
            String hash,
            RouteTerms terms,
            Instant due,
            Instant at,
            @Since(3) Map<String, String> envelope)
            implements MessageCommand {
        /** A message without an envelope. */
        public Accept(
                String tenant,
                String lane,
                String id,
                String orderKey,
                byte[] body,
                String hash,
                RouteTerms terms,
                Instant due,
                Instant at) {
            this(tenant, lane, id, orderKey, body, hash, terms, due, at, Map.of());
        }
    }

    /** Starts an attempt. The destination is the address of a push, the id of a fetch, or the processor of a lease. */
    public record Start(
            String handle,
            int attempt,
            String processor,
            Instant deadline,
            Instant at,
            @Since(2) String destination) implements MessageCommand {}

    /** Ends an attempt. Attempt 0 ends a waiting message whose time limit is reached. */
    public record End(
            String handle,
            int attempt,
            @FirstFormatName("ending") AttemptOutcome outcome,
            String proof,
            Instant due,
            Instant at)
            implements MessageCommand {}

    /**
     * Drops messages that ended before the given times. Those of unknown outcome are kept longer, so that their outcome
     * can be found out. (docs/design.md, section 9.3)
     */
    public record ExpireEnded(Instant endedBefore, @Since(2) Instant unclearBefore) implements MessageCommand {}

    /** The message created by an {@link Accept}, or the existing one that it repeats. */
    public record Accepted(String handle, String state, boolean repeated) implements MessageResult {}

    /** Whether a transition was made, and the message in its current state. */
    public record TransitionResult(boolean applied, Message message) implements MessageResult {}

    /** How many ended messages were dropped. */
    public record ExpiredCount(int count) implements MessageResult {}

    // requests between data plane nodes
    /**
     * A time on the monotonic clock of one incarnation of the receiving process; a request that arrives later is
     * rejected. (docs/design.md, section 9.7)
     */
    public record RemoteDeadline(String incarnation, Duration at) {}

    /** Requests the current monotonic time of a store. */
    public record ClockRequest(boolean any) implements RepeatableRequest {}

    /** The monotonic clock of one incarnation of a store. */
    public record ClockResponse(
            @FirstFormatName("life") String incarnation,
            @FirstFormatName("at") Duration time) {}

    /** Submits a message from an intake to the leader of its partition; rejected after the deadline. */
    public record AcceptRequest(
            @FirstFormatName("part") String partition,
            Accept accept,
            @FirstFormatName("until") RemoteDeadline deadline) implements RepeatableRequest {}

    /**
     * Asks the leader for one message of a tenant. With the number of an attempt it may be sent to any store, which
     * returns the message only if it has that attempt in flight itself, and fails with NOT_FOUND otherwise.
     */
    public record StatusRequest(
            String partition,
            String handle,
            String tenant,
            @Since(6) int attemptInFlight) implements RepeatableRequest {
        /** Asks for the message. */
        public StatusRequest(String partition, String handle, String tenant) {
            this(partition, handle, tenant, 0);
        }
    }

    /** Asks for messages of a tenant in one state. */
    public record ListRequest(String partition, String tenant, String state, int limit) implements RepeatableRequest {}

    /** The messages that were asked for, the newest first. */
    public record ListResponse(List<Message> messages) {}

    /** A processor asks for messages of a service from one partition. */
    public record FetchRequest(
            @FirstFormatName("part") String partition,
            String service,
            String processor,
            @FirstFormatName("most") int limit,
            @FirstFormatName("until") RemoteDeadline deadline,
            @FirstFormatName("fetch") String fetchId,
            @FirstFormatName("again") boolean repeated)
            implements AtMostOnceRequest {}

    /** The messages that were handed out. */
    public record FetchResponse(List<Message> messages) {}

    /**
     * Reports the end of an attempt to the leader of its partition. A former leader also uses it to forward an outcome
     * to its successor.
     */
    public record OutcomeReport(String partition, End end, String processor, String service)
            implements RepeatableRequest {}

    /**
     * A pull that waits at a store for work of a service, from any of the partitions led there. (docs/design.md,
     * section 9.10)
     */
    public record LongPullRequest(
            String service,
            String processor,
            @FirstFormatName("until") RemoteDeadline deadline,
            long waitMs,
            String zone)
            implements AtMostOnceRequest {}

    /** One message with a started attempt, or none. */
    public record LongPullResponse(List<Message> messages) {}

    /**
     * Extends a lease at the request of its processor. The time of the last renewal is kept only in the memory of the
     * leader. (docs/design.md, section 9.10)
     */
    public record ExtendLeaseRequest(String partition, String handle, int attempt) implements RepeatableRequest {}

    /** Ends a lease; a repeated request gets the same response. */
    public record EndLeaseRequest(String partition, End end) implements RepeatableRequest {}

    /** The complete state of a partition, for snapshots. */
    public record State(
            Map<String, Message> messages,
            @FirstFormatName("seq") long lastSequence) {}

    /** All types in the order of their numbers on the wire and on disk: append only. */
    public static List<Class<?>> types() {
        return List.of(
                AttemptOutcome.class,
                Accept.class,
                Start.class,
                End.class,
                ExpireEnded.class,
                Accepted.class,
                TransitionResult.class,
                ExpiredCount.class,
                AcceptRequest.class,
                StatusRequest.class,
                ListRequest.class,
                ListResponse.class,
                FetchRequest.class,
                FetchResponse.class,
                OutcomeReport.class,
                State.class,
                Message.class,
                MessageState.class,
                RouteTerms.class,
                RemoteDeadline.class,
                ClockRequest.class,
                ClockResponse.class,
                LongPullRequest.class,
                LongPullResponse.class,
                ExtendLeaseRequest.class,
                EndLeaseRequest.class);
    }
}
