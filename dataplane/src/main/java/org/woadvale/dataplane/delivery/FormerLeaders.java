package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.runtime.Delays;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Waits until no other store can learn the outcome of an attempt that an earlier leader began. Each store that may have
 * led the partition is asked whether the attempt is in flight there: it says so from before the start is committed until
 * the outcome is, so after its last answer the outcome is in the log if it was ever read. A store that does not answer
 * counts as gone after {@link #SILENCE_LIMIT}. (docs/design.md, section 9.3)
 */
final class FormerLeaders {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IN_FLIGHT_INTERVAL = Duration.ofMillis(200);
    private static final Duration SILENT_INTERVAL = Duration.ofMillis(500);
    private static final Duration VIEW_INTERVAL = Duration.ofMillis(50);
    /** Longer than a connection takes to be opened anew, and than a busy store takes to answer. */
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    private enum Answer {
        ENDED,
        IN_FLIGHT,
        SILENT
    }

    private record StoreAnswer(String store, Answer answer) {}

    private final Dispatcher dispatcher;
    private final Message message;
    /** When the first of the latest answers was missing without any store saying that the attempt is in flight. */
    private Optional<Duration> silentSince = Optional.empty();

    FormerLeaders(Dispatcher dispatcher, Message message) {
        this.dispatcher = dispatcher;
        this.message = message;
    }

    private Duration now() {
        return dispatcher.context().environment().clock().monotonicTime();
    }

    /**
     * Completes with true once no other store can learn the outcome, and with false if nothing is left to decide here:
     * the attempt has ended, or this store does not lead any more.
     *
     * @param firstRepeat how long an answer that the attempt is in flight is taken for granted
     */
    Mono<Boolean> awaitEnd(Duration firstRepeat) {
        return awaitView(now()).then(Mono.defer(() -> ask(stores(), firstRepeat)));
    }

    /** A store that has just started does not know yet which stores leave; without the core it does not learn it. */
    private Mono<Void> awaitView(Duration began) {
        boolean known = subscriptions().fresh(ServiceNames.STORES).isPresent();
        return known || now().minus(began).compareTo(SILENCE_LIMIT) >= 0
                ? Mono.empty()
                : Delays.delay(dispatcher.context().environment().timers(), VIEW_INTERVAL)
                        .then(Mono.defer(() -> awaitView(began)));
    }

    /** The members of the group, and the stores that leave: they may have led until a moment ago. */
    private Set<String> stores() {
        ServiceView view = subscriptions().latest(ServiceNames.STORES);
        Set<String> stores = new TreeSet<>(dispatcher.groupMembers());
        stores.addAll(view.placement().getOrDefault(dispatcher.partitionId(), List.of()));
        view.members().entrySet().stream()
                .filter(member -> member.getValue().leaving())
                .forEach(member -> stores.add(member.getKey()));
        stores.remove(dispatcher.context().environment().self());
        return stores;
    }

    private ViewSubscriptions subscriptions() {
        return dispatcher.context().subscriptions();
    }

    /** Asks the given stores once; those that may still learn the outcome are asked again. */
    private Mono<Boolean> ask(Set<String> stores, Duration inFlightInterval) {
        if (!dispatcher.isLeader() || !dispatcher.isRunning(message)) {
            return Mono.just(false);
        }
        return Flux.fromIterable(stores)
                .flatMap(this::ask)
                .collectList()
                .flatMap(answers -> proceed(new ArrayList<>(answers), inFlightInterval));
    }

    private Mono<Boolean> proceed(List<StoreAnswer> answers, Duration inFlightInterval) {
        // a store that does not lead begins no attempt: what has ended there needs no second question
        answers.removeIf(answer -> answer.answer() == Answer.ENDED);
        boolean inFlight = answers.stream().anyMatch(answer -> answer.answer() == Answer.IN_FLIGHT);
        silentSince = inFlight ? Optional.empty() : Optional.of(silentSince.orElse(now()));
        if (answers.isEmpty() || silentForLong()) {
            return Mono.just(true);
        }
        Set<String> remaining = new TreeSet<>();
        answers.forEach(answer -> remaining.add(answer.store()));
        return Delays.delay(dispatcher.context().environment().timers(), inFlight ? inFlightInterval : SILENT_INTERVAL)
                .then(Mono.defer(() -> ask(remaining, IN_FLIGHT_INTERVAL)));
    }

    private boolean silentForLong() {
        return silentSince
                .filter(since -> now().minus(since).compareTo(SILENCE_LIMIT) >= 0)
                .isPresent();
    }

    private Mono<StoreAnswer> ask(String store) {
        MessageCommands.StatusRequest request = new MessageCommands.StatusRequest(
                dispatcher.partitionId(), message.handle(), message.tenant(), message.attempt());
        return dispatcher
                .context()
                .environment()
                .rpc()
                .call(store, request, Message.class, REQUEST_TIMEOUT)
                .map(found -> new StoreAnswer(store, Answer.IN_FLIGHT))
                .onErrorResume(e -> Mono.just(
                        new StoreAnswer(store, answerOf(ServiceException.of(e).kind()))));
    }

    /** An earlier build does not know the question and answers that it does not lead. */
    private static Answer answerOf(ErrorKind failure) {
        return failure == ErrorKind.NOT_FOUND || failure == ErrorKind.NOT_OWNER ? Answer.ENDED : Answer.SILENT;
    }
}
