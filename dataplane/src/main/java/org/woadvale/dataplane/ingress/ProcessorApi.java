package org.woadvale.dataplane.ingress;

import com.fasterxml.jackson.databind.util.RawValue;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ForbiddenException;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The HTTP requests of processors: pulls of messages and reports of their outcomes. (docs/design.md, section 9.3, 9.6)
 */
final class ProcessorApi {
    /**
     * With a view age of up to 2 s and the last attempt's own limit, no request is served later than 5 s after the
     * removal of its key.
     */
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration PULL_TIMEOUT = Duration.ofMillis(200);
    private static final Duration PULL_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final int OK = 200;

    /** A processor's pull of messages of one service; {@code until} is the monotonic time at which its wait ends. */
    private record PendingPull(Request request, String service, PullRequest terms, Duration until) {}

    private final NodeEnvironment environment;
    private final RouteMatcher matcher;
    private final PartitionClient forwarder;

    ProcessorApi(NodeEnvironment environment, RouteMatcher matcher, PartitionClient forwarder) {
        this.environment = environment;
        this.matcher = matcher;
        this.forwarder = forwarder;
    }

    /**
     * Returns messages for a processor, or an empty list once its wait is over. A repeated pull returns the messages of
     * the first one.
     */
    Mono<Response> pull(Request request, String service) throws ServiceException {
        checkKey(request, service);
        PullRequest terms = matcher.body(request, PullRequest.class);
        int first = (int) Math.floorMod(environment.random().getAsLong(), (long) ServiceNames.MESSAGE_PARTITIONS);
        Mono<Response> fresh = Mono.defer(() -> pullRound(
                new PendingPull(
                        request,
                        service,
                        terms,
                        environment.clock().monotonicTime().plus(Duration.ofMillis(terms.waitMs()))),
                first));
        if (!terms.again() || terms.fetch().isEmpty()) {
            return fresh;
        }
        return Flux.fromIterable(ServiceNames.messagePartitions())
                .concatMap(partition -> pullFrom(partition, service, terms, true))
                .concatMapIterable(MessageCommands.FetchResponse::messages)
                .collectList()
                .flatMap(earlier -> earlier.isEmpty() ? fresh : Mono.just(answer(earlier)));
    }

    /** Pulls from one partition after the other; rechecks the key before each round, as it may have been removed. */
    private Mono<Response> pullRound(PendingPull pull, int first) {
        return Mono.defer(() -> {
            try {
                checkKey(pull.request(), pull.service());
            } catch (ServiceException failure) {
                return Mono.error(failure);
            }
            return Flux.range(0, ServiceNames.MESSAGE_PARTITIONS)
                    .map(i -> "m" + (first + i) % ServiceNames.MESSAGE_PARTITIONS)
                    .concatMap(partition -> pullFrom(partition, pull.service(), pull.terms(), false), 1)
                    .filter(fetched -> !fetched.messages().isEmpty())
                    .next()
                    .map(fetched -> answer(fetched.messages()))
                    .switchIfEmpty(Mono.defer(() -> onEmptyRound(pull, first)));
        });
    }

    private Mono<Response> onEmptyRound(PendingPull pull, int first) {
        if (environment.clock().monotonicTime().compareTo(pull.until()) >= 0) {
            return Mono.just(answer(List.of()));
        }
        return Delays.delay(environment.timers(), PULL_INTERVAL).then(pullRound(pull, first + 1));
    }

    private Mono<MessageCommands.FetchResponse> pullFrom(
            String partition, String service, PullRequest terms, boolean again) {
        return forwarder
                .callOnceWithDeadline(
                        partition,
                        until -> new MessageCommands.FetchRequest(
                                partition, service, terms.processor(), terms.most(), until, terms.fetch(), again),
                        MessageCommands.FetchResponse.class,
                        PULL_TIMEOUT)
                .onErrorResume(error ->
                        ServiceException.of(error).kind() == ErrorKind.FORBIDDEN ? Mono.error(error) : Mono.empty());
    }

    private void checkKey(Request request, String service) throws ServiceException {
        if (!matcher.key(request, Configuration.Role.PROCESSOR).service().equals(service)) {
            throw new ForbiddenException("This key is for another service.");
        }
    }

    private static Response answer(List<Message> messages) {
        List<Map<String, Object>> rows =
                messages.stream().map(ProcessorApi::row).toList();
        return Response.json(OK, Map.of("messages", rows));
    }

    private static Map<String, Object> row(Message message) {
        return Map.of(
                "messageId",
                message.handle(),
                "attempt",
                message.attempt(),
                "callerId",
                message.id(),
                "tenant",
                message.tenant(),
                "lane",
                message.lane(),
                "orderingKey",
                message.orderKey(),
                "deadline",
                message.deadline().toString(),
                "body",
                new RawValue(new String(message.body(), StandardCharsets.UTF_8)));
    }

    /** Records the outcome of an attempt if it is still the current attempt of the message. */
    Mono<Response> outcome(Request request, String handle) throws ServiceException {
        Configuration.Key key = matcher.key(request, Configuration.Role.PROCESSOR);
        OutcomeRequest outcome = matcher.body(request, OutcomeRequest.class);
        if (outcome.outcome().equals("done") && outcome.receipt().isBlank()) {
            throw new InvalidRequestException("Done needs a receipt.");
        }
        String partition = MessageQueries.partitionOf(handle);
        Instant now = environment.clock().wallTime();
        MessageCommands.End end = new MessageCommands.End(
                handle, outcome.attempt(), attemptOutcome(outcome), outcome.receipt(), now.plus(RETRY_DELAY), now);
        return forwarder
                .call(
                        partition,
                        new MessageCommands.OutcomeReport(partition, end, outcome.processor(), key.service()),
                        MessageCommands.TransitionResult.class,
                        OUTCOME_TIMEOUT)
                .map(ProcessorApi::recordedResponse);
    }

    private static MessageCommands.AttemptOutcome attemptOutcome(OutcomeRequest outcome) {
        return switch (outcome.outcome()) {
            case "done" -> MessageCommands.AttemptOutcome.SUCCEEDED;
            case "failed" -> MessageCommands.AttemptOutcome.FAILED;
            default -> MessageCommands.AttemptOutcome.RETRY;
        };
    }

    private static Response recordedResponse(MessageCommands.TransitionResult result) {
        String state = result.message().state().name().toLowerCase(Locale.ROOT);
        return Response.json(OK, Map.of("recorded", result.applied(), "state", state));
    }
}
