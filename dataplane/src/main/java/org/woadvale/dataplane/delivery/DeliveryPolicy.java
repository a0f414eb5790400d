package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.RouteTerms;

/**
 * What the configuration says of a message's delivery: its time limit, its attempts, whether it may be sent again, and
 * the delays between attempts. A lane that is no longer configured keeps the terms its messages were accepted with.
 */
final class DeliveryPolicy {
    private static final Duration RETRY_SOON = Duration.ofMillis(20);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(20);
    /** Each attempt quadruples the backoff, up to this many times. */
    private static final int MAX_QUADRUPLINGS = 5;

    private final DispatchContext context;

    DeliveryPolicy(DispatchContext context) {
        this.context = context;
    }

    /** The newest configuration of proven age; the empty one if there is none. */
    private Configuration configuration() {
        return context.configurations()
                .fresh()
                .map(known -> known.configuration())
                .orElse(Configuration.empty());
    }

    /** The present terms of the message's lane. */
    RouteTerms terms(Message message) {
        return Optional.ofNullable(configuration().lanes().get(message.lane()))
                .map(RouteTerms::of)
                .orElse(message.terms());
    }

    /** Whether the message is for the given service, by the present terms of its lane. */
    boolean isOfService(Message message, String service) {
        return terms(message).service().equals(service);
    }

    /**
     * When the message fails unless delivered; counted from when it was first due, so that a delay asked for is extra.
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
        return RETRY_SOON.plusNanos(Math.floorMod(context.environment().random().getAsLong(), RETRY_SOON.toNanos()));
    }

    /**
     * The delay after so many failed attempts: exponential and bounded, with jitter between half and one and a half of
     * it.
     */
    Duration backoff(int attempts) {
        int quadruplings = Math.min(MAX_QUADRUPLINGS, Math.max(0, attempts - 1));
        Duration exponential = FIRST_BACKOFF.multipliedBy(1L << 2 * quadruplings);
        Duration bounded = exponential.compareTo(LONGEST_BACKOFF) > 0 ? LONGEST_BACKOFF : exponential;
        long jitter = Math.floorMod(context.environment().random().getAsLong(), bounded.toNanos());
        return bounded.dividedBy(2).plusNanos(jitter);
    }
}
