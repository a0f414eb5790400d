package org.woadvale.controlplane.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnauthorizedException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.Since;
import org.woadvale.controlplane.configuration.ConfigurationLog;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.controlplane.state.AppliedRequests;
import org.woadvale.controlplane.state.ControlStateMachine;
import reactor.core.publisher.Mono;

/** HTTP for operators and the platform, on any control node; each request finds its owner. design 6.4 */
public final class OperatorHttpHandler {
    public static final int MAX_CONFIGURATION = 1 << 20;

    /** Carried from the asked control node to the owner of part 0. */
    public record PutConfigurationRequest(ControlMessages.PutConfiguration put) implements RepeatableRequest {}

    public record GetConfigurationRequest(long version) implements RepeatableRequest {}

    public record ConfigurationResponse(
            long version,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    public record GetHistoryRequest(int most) implements RepeatableRequest {}

    public record HistoryResponse(List<Long> versions, List<String> requests, List<String> authors) {}

    public record GetProcessorsRequest(String service) implements RepeatableRequest {}

    public record ProcessorsResponse(Map<String, Processor> processors, long version) {}

    public static List<Class<?>> types() {
        return List.of(
                ControlStateMachine.State.class,
                ConfigurationLog.ConfigurationRevision.class,
                PutConfigurationRequest.class,
                GetConfigurationRequest.class,
                ConfigurationResponse.class,
                GetHistoryRequest.class,
                HistoryResponse.class,
                GetProcessorsRequest.class,
                ProcessorsResponse.class,
                ConfigurationLog.AcceptedUpdate.class,
                ConfigurationLog.RejectedUpdate.class,
                AppliedRequests.Outcome.class);
    }

    private final ControlNode node;
    private final String operatorKeySha256;
    private final ProcessorHttpHandler platform;

    public OperatorHttpHandler(ControlNode node, String operatorKeySha256) {
        this.node = node;
        this.operatorKeySha256 = operatorKeySha256;
        this.platform = new ProcessorHttpHandler(node);
    }

    public void route(RpcRouter router) {
        ControlStateMachine stateMachine = node.machine("c0");
        router.on(
                        PutConfigurationRequest.class,
                        (f, request) ->
                                node.replica("c0").propose(request.put(), ControlMessages.ConfigurationAccepted.class))
                .on(
                        GetConfigurationRequest.class,
                        (f, request) -> node.replica("c0")
                                .read(i -> stateMachine.configurations().revisions())
                                .flatMap(steps -> findRevision(steps, request.version())))
                .on(
                        GetHistoryRequest.class,
                        (f, request) -> node.replica("c0")
                                .read(i -> stateMachine.configurations().revisions())
                                .map(s -> new HistoryResponse(
                                        s.stream()
                                                .map(ConfigurationLog.ConfigurationRevision::version)
                                                .toList(),
                                        s.stream()
                                                .map(ConfigurationLog.ConfigurationRevision::requestId)
                                                .toList(),
                                        s.stream()
                                                .map(ConfigurationLog.ConfigurationRevision::author)
                                                .toList())))
                .on(
                        GetProcessorsRequest.class,
                        (f, request) -> node.replica(ServiceNames.controlPart(request.service()))
                                .read(i -> {
                                    ServiceView view = node.machine(ServiceNames.controlPart(request.service()))
                                            .service(request.service());
                                    return new ProcessorsResponse(view.processors(), view.version());
                                }));
    }

    private static Mono<ConfigurationResponse> findRevision(
            List<ConfigurationLog.ConfigurationRevision> steps, long version) {
        if (steps.isEmpty() && version <= 0) {
            return Mono.just(
                    new ConfigurationResponse(0, "", Configurations.write(Configuration.empty()), new byte[0]));
        }
        return Mono.justOrEmpty(steps.stream()
                        .filter(revision ->
                                version < 0 ? revision == steps.get(steps.size() - 1) : revision.version() == version)
                        .findFirst()
                        .map(revision -> new ConfigurationResponse(
                                revision.version(), revision.author(), revision.configuration(), revision.original())))
                .switchIfEmpty(Mono.error(new NotFoundException("The version " + version + " is not kept.")));
    }

    public Mono<Response> handle(Request request) {
        return Mono.defer(() -> route(request))
                .onErrorResume(e -> Mono.just(Response.of(asUnavailable(ServiceException.of(e)))));
    }

    /** Where the owner was not found nothing was written; where it was lost midway nobody knows yet. */
    private static ServiceException asUnavailable(ServiceException failure) {
        return failure.kind() == ErrorKind.NOT_OWNER || failure.kind() == ErrorKind.UNREACHABLE
                ? new UnavailableException("No owner of the part could be reached.")
                : failure;
    }

    /** A read that got no answer in time has changed nothing. */
    private static ServiceException asFailedRead(ServiceException failure) {
        return failure.kind() == ErrorKind.UNKNOWN_OUTCOME
                ? new UnavailableException("No answer of a leader came in time.")
                : failure;
    }

    private Mono<Response> route(Request request) {
        List<String> s = request.segments();
        String op = request.method() + " " + String.join("/", s.subList(0, Math.min(2, s.size())));
        if (op.equals("GET v1/liveness")) {
            return Mono.just(Response.json(200, Map.of("alive", true)));
        } else if (op.equals("GET v1/readiness")) {
            return Mono.just(Response.json(node.ready() ? 200 : 503, Map.of("ready", node.ready())));
        } else if (op.equals("GET v1/status")) {
            return Mono.just(Response.json(200, Map.of("parts", node.status(), "lighthouses", node.controlNodes())));
        }
        if (!operatorKeySha256.isEmpty()
                && request.secret()
                        .map(Configurations::sha256)
                        .filter(operatorKeySha256::equals)
                        .isEmpty()) {
            return Mono.error(new UnauthorizedException("The operator key is missing or wrong."));
        }
        return switch (op) {
            case "PUT v1/layout" -> putConfiguration(request);
            case "GET v1/layout" -> s.size() > 2 && s.get(2).equals("history") ? getHistory() : getConfiguration(s);
            case "POST v1/drain" -> Mono.just(Response.json(200, Map.of("drained", node.drain())));
            case "GET v1/services", "PUT v1/services", "DELETE v1/services" -> platform.processors(request, s);
            case "PUT v1/core" -> platform.core(request);
            default -> Mono.error(new NotFoundException("No such place: " + request.path() + "."));
        };
    }

    private Mono<Response> putConfiguration(Request request) {
        try {
            Configurations.configuration(request.body());
        } catch (ServiceException failure) {
            return Mono.error(failure);
        }
        Optional<Long> base = request.header("if-match")
                .map(h -> h.replace("\"", ""))
                .filter(h -> h.matches("[0-9]{1,18}"))
                .map(Long::valueOf);
        if (base.isEmpty()) {
            return Mono.error(new InvalidRequestException("If-Match must carry the base version, a whole number."));
        }
        String id = request.header("x-request-id")
                .orElseGet(() -> "auto-" + ThreadLocalRandom.current().nextLong());
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            return Mono.error(new InvalidRequestException("X-Request-Id must be 1 to 64 letters, digits, . _ -"));
        }
        ControlMessages.PutConfiguration put = new ControlMessages.PutConfiguration(
                id, base.get(), request.body(), request.header("x-author").orElse(""));
        return putConfiguration(put)
                .map(accepted -> Response.json(
                                200,
                                Map.of("version", accepted.version(), "repeated", accepted.repeated(), "requestId", id))
                        .with("ETag", "\"" + accepted.version() + "\""));
    }

    public ControlNode node() {
        return node;
    }

    /** Checked by the caller; the answer is a definite yes or no, or UNKNOWN_OUTCOME. design 6.4 */
    public Mono<ControlMessages.ConfigurationAccepted> putConfiguration(ControlMessages.PutConfiguration put) {
        return node.call("c0", new PutConfigurationRequest(put), ControlMessages.ConfigurationAccepted.class);
    }

    /** A kept configuration by its version, the newest for -1. */
    public Mono<ConfigurationResponse> configuration(long version) {
        return node.call("c0", new GetConfigurationRequest(version), ConfigurationResponse.class)
                .onErrorMap(e -> asFailedRead(ServiceException.of(e)));
    }

    private Mono<Response> getConfiguration(List<String> s) {
        long version = s.size() > 2 && s.get(2).matches("[0-9]{1,18}") ? Long.parseLong(s.get(2)) : -1;
        return configuration(version)
                .map(response -> new Response(200, Map.of("Content-Type", "application/json"), response.configuration())
                        .with("ETag", "\"" + response.version() + "\""));
    }

    private Mono<Response> getHistory() {
        return node.call("c0", new GetHistoryRequest(0), HistoryResponse.class).map(history -> {
            List<Map<String, Object>> rows = new ArrayList<>();
            for (int i = 0; i < history.versions().size(); i++) {
                rows.add(Map.of(
                        "version",
                        history.versions().get(i),
                        "requestId",
                        history.requests().get(i),
                        "author",
                        history.authors().get(i)));
            }
            return Response.json(200, Map.of("versions", rows));
        });
    }
}
