package org.woadvale.dataplane.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/** What is written in the logs of message partitions, and asked between data plane nodes. */
public final class MessageCommands {
    private MessageCommands() {}

    /** A command in the log of a message partition. */
    public sealed interface MessageCommand {}

    /** What applying a command to a message partition answers. */
    public sealed interface MessageResult {}

    /** Lapsed: nobody knows, it may run again, and it counts as no attempt. (docs/design.md, section 9.11) */
    public enum AttemptOutcome {
        /** It was executed, with proof. */
        SUCCEEDED,
        /** It will not be executed any more. */
        FAILED,
        /** It was not executed, and counts as an attempt. */
        RETRY,
        /** It never left, and counts as no attempt. */
        NOT_SENT,
        /** Nobody knows; it may run again and counts as no attempt. */
        OUTCOME_UNKNOWN
    }

    /** A message is accepted. */
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

    /** Where it went: the address that it is pushed to, or the id of the fetch. */
    public record Start(
            String handle,
            int attempt,
            String processor,
            Instant deadline,
            Instant at,
            @Since(2) String destination) implements MessageCommand {}

    /** Attempt zero ends a message that does not run: its time is over. */
    public record End(
            String handle,
            int attempt,
            @FirstFormatName("ending") AttemptOutcome outcome,
            String proof,
            Instant due,
            Instant at)
            implements MessageCommand {}

    /** Ends that nobody could prove are kept longer, for those who must find out (docs/design.md, section 9.3). */
    public record ExpireEnded(Instant endedBefore, @Since(2) Instant unclearBefore) implements MessageCommand {}

    /** The message that an Accept has become, or that it repeats. */
    public record Accepted(String handle, String state, boolean repeated) implements MessageResult {}

    /** Whether a transition was made, and the message as it stands. */
    public record TransitionResult(boolean applied, Message message) implements MessageResult {}

    /** How many ended messages were dropped. */
    public record ExpiredCount(int count) implements MessageResult {}

    // asks between data plane nodes
    /**
     * A time by the clock of one incarnation of the asked process: what arrives later is rejected. (docs/design.md,
     * section 9.7)
     */
    public record RemoteDeadline(String incarnation, Duration at) {}

    /** Asks a store for its clock. */
    public record ClockRequest(boolean any) implements RepeatableRequest {}

    /** The monotonic clock of one incarnation of a store. */
    public record ClockResponse(
            @FirstFormatName("life") String incarnation,
            @FirstFormatName("at") Duration time) {}

    /** An intake hands a message to the leader of its partition, before a deadline. */
    public record AcceptRequest(
            @FirstFormatName("part") String partition,
            Accept accept,
            @FirstFormatName("until") RemoteDeadline deadline) implements RepeatableRequest {}

    /** Asks for one message of a tenant. */
    public record StatusRequest(String partition, String handle, String tenant) implements RepeatableRequest {}

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

    /** Also how a deposed leader gives an answer to the new one. */
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

    /** One message that was started, or none. */
    public record LongPullResponse(List<Message> messages) {}

    /**
     * The processor needs longer: the last word of a lease, kept by the leader in memory. (docs/design.md, section
     * 9.10)
     */
    public record ExtendLeaseRequest(String partition, String handle, int attempt) implements RepeatableRequest {}

    /** The end of a lease; said again it has the same answer. */
    public record EndLeaseRequest(String partition, End end) implements RepeatableRequest {}

    /** All of the state, for snapshots. */
    public record State(
            Map<String, Message> messages,
            @FirstFormatName("seq") long lastSequence) {}

    /** All types by their numbers on the wire and on disk: only ever add at the end. */
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
