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
import org.woadvale.common.http.HttpRouter;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageState;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The HTTP interface of an ingress: submissions, queries, pulls and outcomes. (docs/design.md, section 9.6) */
public final class IngressApi {
    /** Maximum size of a request body, in bytes. */
    public static final int MAX_BODY = SubmitApi.MAX_BODY;
    /**
     * With a view age of up to 2 s and the last attempt's own limit, no request is served later than 5 s after the
     * removal of its key.
     */
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_LISTED = 100;

    private final NodeEnvironment environment;
    private final RouteMatcher routeMatcher;
    private final PartitionClient forwarder;
    private final SubmitApi submitApi;
    private final ProcessorApi processorApi;
    private final MessageQueries queries;
    private final Supplier<Map<String, Object>> status;
    private final Supplier<Boolean> ready;
    private final Supplier<Boolean> drain;
    private final HttpRouter router;

    /** The HTTP interface of one node, with functions that return its status and readiness and that drain it. */
    public IngressApi(
            NodeEnvironment environment,
            ConfigurationView configurations,
            Intake intake,
            MessageQueries queries,
            PartitionClient forwarder,
            Supplier<Map<String, Object>> status,
            Supplier<Boolean> ready,
            Supplier<Boolean> drain) {
        this.environment = environment;
        this.routeMatcher = new RouteMatcher(configurations);
        this.forwarder = forwarder;
        this.submitApi = new SubmitApi(routeMatcher, intake);
        this.processorApi = new ProcessorApi(environment, routeMatcher, forwarder);
        this.queries = queries;
        this.status = status;
        this.ready = ready;
        this.drain = drain;
        this.router = routes();
    }

    /** Handles a request; a failure becomes an error response. */
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

    private HttpRouter routes() {
        return new HttpRouter()
                .on("GET v1/liveness", (request, path) -> json(OK, Map.of("alive", true)))
                .on("GET v1/readiness", (request, path) -> readiness())
                .on("GET v1/status", (request, path) -> json(OK, status.get()))
                .on("POST v1/drain", (request, path) -> json(OK, Map.of("drained", drain.get())))
                .on("POST v1/lanes/{lane}/messages", (request, path) -> submitApi.submit(request, path.get("lane")))
                .on("GET v1/messages/{handle}", (request, path) -> getMessage(request, path.get("handle")))
                .on("GET v1/messages", (request, path) -> listMessages(request))
                .on(
                        "POST v1/services/{service}/fetch",
                        (request, path) -> processorApi.pull(request, path.get("service")))
                .on(
                        "POST v1/messages/{handle}/outcome",
                        (request, path) -> processorApi.outcome(request, path.get("handle")));
    }

    private Mono<Response> route(Request request) throws ServiceException {
        return router.route(request)
                .orElseThrow(
                        () -> new NotFoundException("No such place: " + request.method() + " " + request.path() + "."));
    }

    private static Mono<Response> json(int code, Object body) {
        return Mono.just(Response.json(code, body));
    }

    private Mono<Response> readiness() {
        boolean isReady = ready.get();
        return json(isReady ? OK : UNAVAILABLE, Map.of("ready", isReady));
    }

    private Mono<Response> getMessage(Request request, String handle) {
        return queries.message(request.bearerToken().orElse(""), handle)
                .map(message -> Response.json(OK, messageJson(message)));
    }

    private Map<String, Object> messageJson(Message message) {
        Map<String, Object> json = new LinkedHashMap<>();
        boolean due = !message.due().isAfter(environment.clock().wallTime());
        json.put("handle", message.handle());
        json.put("id", message.id());
        json.put("lane", message.lane());
        json.put(
                "state",
                message.state() == MessageState.WAITING && due
                        ? "ready"
                        : message.state().name().toLowerCase(Locale.ROOT));
        json.put("attempts", message.attempt());
        json.put("processor", message.processor());
        json.put(message.state() == MessageState.DONE ? "proof" : "note", message.proof());
        json.put("accepted", message.accepted().toString());
        if (message.state().isTerminal()) {
            json.put("ended", message.ended().toString());
        }
        return json;
    }

    /** Lists messages of the key's tenant in one state, by default the failed ones, newest first in each partition. */
    private Mono<Response> listMessages(Request request) throws ServiceException {
        Configuration.Key key = routeMatcher.key(request, Configuration.Role.CALLER);
        String state = query(request, "state").orElse("failed").toUpperCase(Locale.ROOT);
        String reason = query(request, "reason").orElse("");
        if (Arrays.stream(MessageState.values())
                .noneMatch(messageState -> messageState.name().equals(state))) {
            throw new InvalidRequestException("state must be waiting, running, done or failed.");
        }
        return Flux.fromIterable(ServiceNames.messagePartitions())
                .flatMap(partition -> forwarder.call(
                        partition,
                        new MessageCommands.ListRequest(partition, key.tenant(), state, MAX_LISTED),
                        MessageCommands.ListResponse.class,
                        LIST_TIMEOUT))
                .collectList()
                .map(lists -> {
                    List<Map<String, Object>> rows = new ArrayList<>();
                    lists.forEach(listResponse -> listResponse.messages().stream()
                            .filter(message -> message.proof().startsWith(reason))
                            .forEach(message -> rows.add(messageJson(message))));
                    return Response.json(OK, Map.of("messages", rows));
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
