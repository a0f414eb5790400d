package org.woadvale.dataplane.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;

/** What is written in the logs of message parts, and asked between data plane nodes. */
public final class Commands {
    private Commands() {}

    /** Lapsed: nobody knows, it may run again, and it counts as no attempt. design 9.11 */
    public enum Ending {
        DONE,
        FAILED,
        RETRY,
        NOT_SENT,
        LAPSED
    }

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
            @Since(3) Map<String, String> envelope) {
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
            @Since(2) String where) {}

    /** Attempt zero ends a message that does not run: its time is over. */
    public record End(String handle, int attempt, Ending ending, String proof, Instant due, Instant at) {}

    /** Ends that nobody could prove are kept longer, for those who must find out: design 9.3. */
    public record Forget(Instant endedBefore, @Since(2) Instant unclearBefore) {}

    public record Accepted(String handle, String state, boolean repeated) {}

    public record Changed(boolean done, Message message) {}

    public record Forgotten(int count) {}

    // asks between data plane nodes
    /** By the clock of the asked process in this life of it: what comes later is refused. design 9.7 */
    public record Until(String life, Duration by) {}

    public record ClockAsk(boolean any) implements RepeatableRequest {}

    public record Clock(String life, Duration at) {}

    public record AcceptAsk(String part, Accept accept, Until until) implements RepeatableRequest {}

    public record StatusAsk(String part, String handle, String tenant) implements RepeatableRequest {}

    public record ListAsk(String part, String tenant, String state, int most) implements RepeatableRequest {}

    public record Listed(List<Message> messages) {}

    public record FetchAsk(
            String part, String service, String processor, int most, Until until, String fetch, boolean again)
            implements AtMostOnceRequest {}

    public record Fetched(List<Message> messages) {}

    /** Also how a deposed owner gives an answer to the new one. */
    public record OutcomeAsk(String part, End end, String processor, String service) implements RepeatableRequest {}

    /** A fetch that waits at a store for work of a service, from any of the parts owned there. design 9.10 */
    public record PullAsk(String service, String processor, Until until, long waitMs, String zone)
            implements AtMostOnceRequest {}

    /** One message that was started, or none. */
    public record Pulled(List<Message> messages) {}

    /** The processor needs longer: the last word of a lease, kept by the owner in memory. design 9.10 */
    public record LeaseAsk(String part, String handle, int attempt) implements RepeatableRequest {}

    /** The end of a lease; said again it has the same answer. */
    public record LeaseEndAsk(String part, End end) implements RepeatableRequest {}

    public record State(Map<String, Message> messages, long seq) {}

    public static List<Class<?>> types() {
        return List.of(
                Ending.class,
                Accept.class,
                Start.class,
                End.class,
                Forget.class,
                Accepted.class,
                Changed.class,
                Forgotten.class,
                AcceptAsk.class,
                StatusAsk.class,
                ListAsk.class,
                Listed.class,
                FetchAsk.class,
                Fetched.class,
                OutcomeAsk.class,
                State.class,
                Message.class,
                MessageState.class,
                RouteTerms.class,
                Until.class,
                ClockAsk.class,
                Clock.class,
                PullAsk.class,
                Pulled.class,
                LeaseAsk.class,
                LeaseEndAsk.class);
    }
}
