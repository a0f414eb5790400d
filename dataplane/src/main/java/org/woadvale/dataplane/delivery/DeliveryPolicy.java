package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.RouteTerms;

/**
 * The delivery settings of a message: its time limit, its attempts, whether it may be sent again, and the delays
 * between attempts. A lane that is no longer configured keeps the terms its messages were accepted with.
 */
final class DeliveryPolicy {
    private static final Duration SHORT_RETRY_DELAY = Duration.ofMillis(20);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(20);
    /** Each attempt quadruples the backoff, up to this many times. */
    private static final int MAX_QUADRUPLINGS = 5;

    private final DispatchContext context;

    DeliveryPolicy(DispatchContext context) {
        this.context = context;
    }

    /** The newest configuration that is known to be fresh; an empty one if there is none. */
    private Configuration configuration() {
        return context.configurations()
                .fresh()
                .map(known -> known.configuration())
                .orElse(Configuration.empty());
    }

    /** The current terms of the lane of the message. */
    RouteTerms terms(Message message) {
        return Optional.ofNullable(configuration().lanes().get(message.lane()))
                .map(RouteTerms::of)
                .orElse(message.terms());
    }

    /** Whether the message is for the given service, by the current terms of its lane. */
    boolean isOfService(Message message, String service) {
        return terms(message).service().equals(service);
    }

    /**
     * The time at which an undelivered message fails. It is counted from the time at which the message was first due,
     * so that a requested delay does not use up the time limit.
     */
    Instant expiry(Message message) {
        return message.from().plusMillis(terms(message).timeLimitMs());
    }

    boolean attemptsLeft(Message message) {
        return message.attemptsMade() < terms(message).attempts();
    }

    /** Whether an attempt of unknown outcome is sent again rather than inquired after. */
    boolean resends(Message message) {
        return terms(message).resend() && !context.protocol().supportsInquiry();
    }

    /** Whether the service answers a repeated message with its first success. */
    boolean deduplicates(Message message) {
        return Optional.ofNullable(configuration().services().get(terms(message).service()))
                .map(Configuration.Service::dedupes)
                .orElse(false);
    }

    /** The delay before a message that was not run is tried elsewhere: short, with jitter. */
    Duration shortRetryDelay() {
        return SHORT_RETRY_DELAY.plusNanos(
                Math.floorMod(context.environment().random().getAsLong(), SHORT_RETRY_DELAY.toNanos()));
    }

    /**
     * The delay after the given number of failed attempts: exponential and bounded, with jitter between half and one
     * and a half of its value.
     */
    Duration backoff(int attempts) {
        int quadruplings = Math.min(MAX_QUADRUPLINGS, Math.max(0, attempts - 1));
        Duration exponential = FIRST_BACKOFF.multipliedBy(1L << 2 * quadruplings);
        Duration bounded = exponential.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : exponential;
        long jitter = Math.floorMod(context.environment().random().getAsLong(), bounded.toNanos());
        return bounded.dividedBy(2).plusNanos(jitter);
    }
}
