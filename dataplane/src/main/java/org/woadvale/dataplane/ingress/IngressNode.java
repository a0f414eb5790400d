package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageState;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The HTTP interface of an ingress: submissions, queries, pulls and outcomes. design 9.6 */
public final class IngressNode {
    public static final int MAX_BODY = SubmitApi.MAX_BODY;
    /** With a view of up to 2 s and the last try's own limit still within 5 s of a key's withdrawal. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private final NodeEnvironment environment;
    private final RouteMatcher doors;
    private final SubmitForwarder forwarder;
    private final SubmitApi submitApi;
    private final ProcessorApi processorApi;
    private final MessageQueries queries;
    private final Supplier<Map<String, Object>> status;
    private final Supplier<Boolean> ready;
    private final Supplier<Boolean> drain;

    public IngressNode(
            NodeEnvironment environment,
            ConfigurationView configurations,
            Intake intake,
            MessageQueries queries,
            SubmitForwarder forwarder,
            Supplier<Map<String, Object>> status,
            Supplier<Boolean> ready,
            Supplier<Boolean> drain) {
        this.environment = environment;
        this.doors = new RouteMatcher(configurations);
        this.forwarder = forwarder;
        this.submitApi = new SubmitApi(doors, intake);
        this.processorApi = new ProcessorApi(environment, doors, forwarder);
        this.queries = queries;
        this.status = status;
        this.ready = ready;
        this.drain = drain;
    }

    public Mono<Response> handle(Request request) {
        return Mono.defer(() -> {
                    try {
                        return route(request);
                    } catch (ServiceException failure) {
                        return Mono.error(failure);
                    }
                })
                .onErrorResume(e -> Mono.just(Response.of(ServiceException.of(e))));
    }

    private Mono<Response> route(Request request) throws ServiceException {
        List<String> s = request.segments();
        String op = request.method() + " " + String.join("/", s.subList(0, Math.min(2, s.size()))) + " " + s.size();
        switch (op) {
            case "GET v1/liveness 2":
                return Mono.just(Response.json(200, Map.of("alive", true)));
            case "GET v1/readiness 2":
                return Mono.just(Response.json(ready.get() ? 200 : 503, Map.of("ready", ready.get())));
            case "GET v1/status 2":
                return Mono.just(Response.json(200, status.get()));
            case "POST v1/drain 2":
                return Mono.just(Response.json(200, Map.of("drained", drain.get())));
            case "POST v1/lanes 4":
                if (s.get(3).equals("messages")) {
                    return submitApi.submit(request, s.get(2));
                }
                break;
            case "GET v1/messages 3":
                return getMessage(request, s.get(2));
            case "GET v1/messages 2":
                return listMessages(request);
            case "POST v1/services 4":
                if (s.get(3).equals("fetch")) {
                    return processorApi.pull(request, s.get(2));
                }
                break;
            case "POST v1/messages 4":
                if (s.get(3).equals("outcome")) {
                    return processorApi.outcome(request, s.get(2));
                }
                break;
            default:
        }
        throw new NotFoundException("No such place: " + request.method() + " " + request.path() + ".");
    }

    private Mono<Response> getMessage(Request request, String handle) {
        return queries.message(request.secret().orElse(""), handle)
                .map(message -> Response.json(200, messageJson(message)));
    }

    private Map<String, Object> messageJson(Message message) {
        Map<String, Object> b = new LinkedHashMap<>();
        boolean due = !message.due().isAfter(environment.clock().wallTime());
        b.put("handle", message.handle());
        b.put("id", message.id());
        b.put("lane", message.lane());
        b.put(
                "state",
                message.state() == MessageState.WAITING && due
                        ? "ready"
                        : message.state().name().toLowerCase(Locale.ROOT));
        b.put("attempts", message.attempt());
        b.put("processor", message.processor());
        b.put(message.state() == MessageState.DONE ? "proof" : "note", message.proof());
        b.put("accepted", message.accepted().toString());
        if (message.state().ended()) {
            b.put("ended", message.ended().toString());
        }
        return b;
    }

    /** Messages of the key's tenant in one state, newest first: failed ones unless told otherwise. */
    private Mono<Response> listMessages(Request request) throws ServiceException {
        Configuration.Key key = doors.key(request, Configuration.Role.CALLER);
        String state = query(request, "state").orElse("failed").toUpperCase(Locale.ROOT);
        String reason = query(request, "reason").orElse("");
        if (Arrays.stream(MessageState.values())
                .noneMatch(messageState -> messageState.name().equals(state))) {
            throw new InvalidRequestException("state must be waiting, running, done or failed.");
        }
        return Flux.fromIterable(ServiceNames.messageParts())
                .flatMap(p -> forwarder.call(
                        p,
                        new MessageCommands.ListRequest(p, key.tenant(), state, 100),
                        MessageCommands.ListResponse.class,
                        LIMIT))
                .collectList()
                .map(lists -> {
                    List<Map<String, Object>> rows = new ArrayList<>();
                    lists.forEach(listResponse -> listResponse.messages().stream()
                            .filter(message -> message.proof().startsWith(reason))
                            .forEach(message -> rows.add(messageJson(message))));
                    return Response.json(200, Map.of("messages", rows));
                });
    }

    private static Optional<String> query(Request request, String name) {
        return Pattern.compile("[?&]" + name + "=([a-z]+)")
                .matcher(request.path())
                .results()
                .map(match -> match.group(1))
                .findFirst();
    }
}
