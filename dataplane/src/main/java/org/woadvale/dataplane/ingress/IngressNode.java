package org.woadvale.dataplane.ingress;

import com.fasterxml.jackson.databind.util.RawValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.http.Answer;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageState;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** HTTP of an intake: processor-ins, status, fetches and outcomes. design 9.6 */
public final class IngressNode {
    public static final int MAX_BODY = Intake.MAX_BODY;
    /** With a view of up to 2 s and the last try's own limit still within 5 s of a key's withdrawal. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private static final Duration OWNER_HINTS = Duration.ofMillis(200);
    private static final Duration POLL = Duration.ofMillis(100);

    private final Env env;
    private final RouteMatcher doors;
    private final SubmitForwarder forwarder;
    private final Intake intake;
    private final Queries queries;
    private final Supplier<Map<String, Object>> status;
    private final Supplier<Boolean> ready;
    private final Supplier<Boolean> drain;

    public IngressNode(
            Env env,
            ConfigurationView configurations,
            Intake intake,
            Queries queries,
            SubmitForwarder forwarder,
            Supplier<Map<String, Object>> status,
            Supplier<Boolean> ready,
            Supplier<Boolean> drain) {
        this.env = env;
        this.doors = new RouteMatcher(configurations);
        this.forwarder = forwarder;
        this.intake = intake;
        this.queries = queries;
        this.status = status;
        this.ready = ready;
        this.drain = drain;
    }

    public Mono<Answer> answer(Request q) {
        return Mono.defer(() -> {
                    try {
                        return route(q);
                    } catch (ServiceException e) {
                        return Mono.error(e);
                    }
                })
                .onErrorResume(e -> Mono.just(Answer.of(ServiceException.of(e))));
    }

    private Mono<Answer> route(Request q) throws ServiceException {
        List<String> s = q.segments();
        String op = q.method() + " " + String.join("/", s.subList(0, Math.min(2, s.size()))) + " " + s.size();
        switch (op) {
            case "GET v1/liveness 2":
                return Mono.just(Answer.json(200, Map.of("alive", true)));
            case "GET v1/readiness 2":
                return Mono.just(Answer.json(ready.get() ? 200 : 503, Map.of("ready", ready.get())));
            case "GET v1/status 2":
                return Mono.just(Answer.json(200, status.get()));
            case "POST v1/drain 2":
                return Mono.just(Answer.json(200, Map.of("drained", drain.get())));
            case "POST v1/lanes 4":
                if (s.get(3).equals("messages")) {
                    return intake.submit(q, s.get(2));
                }
                break;
            case "GET v1/messages 3":
                return show(q, s.get(2));
            case "GET v1/messages 2":
                return list(q);
            case "POST v1/services 4":
                if (s.get(3).equals("fetch")) {
                    return fetch(q, s.get(2));
                }
                break;
            case "POST v1/messages 4":
                if (s.get(3).equals("outcome")) {
                    return outcome(q, s.get(2));
                }
                break;
            default:
        }
        throw new ServiceException(ErrorKind.NOT_FOUND, "No such place: " + q.method() + " " + q.path() + ".");
    }

    private Mono<Answer> show(Request q, String handle) {
        return queries.message(q.secret().orElse(""), handle).map(m -> Answer.json(200, shown(m)));
    }

    private Map<String, Object> shown(Message m) {
        Map<String, Object> b = new LinkedHashMap<>();
        boolean due = !m.due().isAfter(env.times().wall());
        b.put("handle", m.handle());
        b.put("id", m.id());
        b.put("lane", m.lane());
        b.put(
                "state",
                m.state() == MessageState.WAITING && due
                        ? "ready"
                        : m.state().name().toLowerCase(Locale.ROOT));
        b.put("attempts", m.attempt());
        b.put("processor", m.processor());
        b.put(m.state() == MessageState.DONE ? "proof" : "note", m.proof());
        b.put("accepted", m.accepted().toString());
        if (m.state().ended()) {
            b.put("ended", m.ended().toString());
        }
        return b;
    }

    /** Messages of the key's tenant in one state, newest first: failed ones unless told otherwise. */
    private Mono<Answer> list(Request q) throws ServiceException {
        Configuration.Key key = doors.key(q, Configuration.Role.CALLER);
        String state = query(q, "state").orElse("failed").toUpperCase(Locale.ROOT);
        String reason = query(q, "reason").orElse("");
        if (java.util.Arrays.stream(MessageState.values())
                .noneMatch(x -> x.name().equals(state))) {
            throw new ServiceException(ErrorKind.BAD_REQUEST, "state must be waiting, running, done or failed.");
        }
        return Flux.fromIterable(ServiceNames.messageParts())
                .flatMap(p -> forwarder.ask(
                        p, new Commands.ListAsk(p, key.tenant(), state, 100), Commands.Listed.class, LIMIT))
                .collectList()
                .map(lists -> {
                    List<Map<String, Object>> rows = new ArrayList<>();
                    lists.forEach(l -> l.messages().stream()
                            .filter(m -> m.proof().startsWith(reason))
                            .forEach(m -> rows.add(shown(m))));
                    return Answer.json(200, Map.of("messages", rows));
                });
    }

    private static Optional<String> query(Request q, String name) {
        return java.util.regex.Pattern.compile("[?&]" + name + "=([a-z]+)")
                .matcher(q.path())
                .results()
                .map(r -> r.group(1))
                .findFirst();
    }

    private Mono<Answer> fetch(Request q, String service) throws ServiceException {
        processorKey(q, service);
        PullRequest in = doors.body(q, PullRequest.class);
        int first = (int) Math.floorMod(env.random().getAsLong(), (long) ServiceNames.MESSAGE_PARTS);
        Mono<Answer> fresh =
                Mono.defer(() -> fetch(q, service, in, env.times().mono().plus(Duration.ofMillis(in.waitMs())), first));
        return in.again() && !in.fetch().isEmpty()
                ? Flux.fromIterable(ServiceNames.messageParts())
                        .concatMap(p -> fetch(p, service, in, true))
                        .concatMapIterable(Commands.Fetched::messages)
                        .collectList()
                        .flatMap(got -> got.isEmpty() ? fresh : Mono.just(handed(got)))
                : fresh;
    }

    private Mono<Commands.Fetched> fetch(String part, String service, PullRequest in, boolean again) {
        return forwarder
                .timelyOnce(
                        part,
                        u -> new Commands.FetchAsk(part, service, in.processor(), in.most(), u, in.fetch(), again),
                        Commands.Fetched.class,
                        OWNER_HINTS)
                .onErrorResume(
                        e -> ServiceException.of(e).kind() == ErrorKind.FORBIDDEN ? Mono.error(e) : Mono.empty());
    }

    private static Answer handed(List<Message> messages) {
        return Answer.json(
                200,
                Map.of("messages", messages.stream().map(IngressNode::handed).toList()));
    }

    private void processorKey(Request q, String service) throws ServiceException {
        if (!doors.key(q, Configuration.Role.PROCESSOR).service().equals(service)) {
            throw new ServiceException(ErrorKind.FORBIDDEN, "This key is for another service.");
        }
    }

    /** Part by part; the key is checked again before every round, so a withdrawn one gets nothing. */
    private Mono<Answer> fetch(Request q, String service, PullRequest in, Duration until, int first) {
        return Mono.defer(() -> {
            try {
                processorKey(q, service);
            } catch (ServiceException e) {
                return Mono.error(e);
            }
            return Flux.range(0, ServiceNames.MESSAGE_PARTS)
                    .map(i -> "m" + (first + i) % ServiceNames.MESSAGE_PARTS)
                    .concatMap(p -> fetch(p, service, in, false), 1)
                    .filter(f -> !f.messages().isEmpty())
                    .next()
                    .map(f -> handed(f.messages()))
                    .switchIfEmpty(Mono.defer(() -> env.times().mono().compareTo(until) >= 0
                            ? Mono.just(Answer.json(200, Map.of("messages", List.of())))
                            : Delays.pause(env.schedules(), POLL).then(fetch(q, service, in, until, first + 1))));
        });
    }

    private static Map<String, Object> handed(Message m) {
        return Map.of(
                "messageId",
                m.handle(),
                "attempt",
                m.attempt(),
                "callerId",
                m.id(),
                "tenant",
                m.tenant(),
                "lane",
                m.lane(),
                "orderingKey",
                m.orderKey(),
                "deadline",
                m.deadline().toString(),
                "body",
                new RawValue(new String(m.body(), java.nio.charset.StandardCharsets.UTF_8)));
    }

    private Mono<Answer> outcome(Request q, String handle) throws ServiceException {
        Configuration.Key key = doors.key(q, Configuration.Role.PROCESSOR);
        OutcomeRequest in = doors.body(q, OutcomeRequest.class);
        if (in.outcome().equals("done") && in.receipt().isBlank()) {
            throw new ServiceException(ErrorKind.BAD_REQUEST, "Done needs a receipt.");
        }
        String part = Queries.partOf(handle);
        var now = env.times().wall();
        Commands.Ending ending = switch (in.outcome()) {
            case "done" -> Commands.Ending.DONE;
            case "failed" -> Commands.Ending.FAILED;
            default -> Commands.Ending.RETRY;
        };
        Commands.End end = new Commands.End(handle, in.attempt(), ending, in.receipt(), now.plusMillis(500), now);
        return forwarder
                .ask(
                        part,
                        new Commands.OutcomeAsk(part, end, in.processor(), key.service()),
                        Commands.Changed.class,
                        LIMIT)
                .map(c -> Answer.json(
                        200,
                        Map.of(
                                "recorded",
                                c.done(),
                                "state",
                                c.message().state().name().toLowerCase(Locale.ROOT))));
    }
}
