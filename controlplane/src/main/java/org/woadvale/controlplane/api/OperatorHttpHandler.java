package org.woadvale.controlplane.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
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

    public void route(org.woadvale.common.rpc.RpcRouter router) {
        ControlStateMachine m = node.machine("c0");
        router.on(
                        PutConfigurationRequest.class,
                        (f, a) -> node.replica("c0").propose(a.put(), ControlMessages.ConfigurationAccepted.class))
                .on(
                        GetConfigurationRequest.class,
                        (f, a) -> node.replica("c0")
                                .read(i -> m.configurations().revisions())
                                .flatMap(steps -> findRevision(steps, a.version())))
                .on(
                        GetHistoryRequest.class,
                        (f, a) -> node.replica("c0")
                                .read(i -> m.configurations().revisions())
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
                        (f, a) -> node.replica(ServiceNames.controlPart(a.service()))
                                .read(i -> {
                                    ServiceView v = node.machine(ServiceNames.controlPart(a.service()))
                                            .service(a.service());
                                    return new ProcessorsResponse(v.processors(), v.version());
                                }));
    }

    private static Mono<ConfigurationResponse> findRevision(
            List<ConfigurationLog.ConfigurationRevision> steps, long version) {
        if (steps.isEmpty() && version <= 0) {
            return Mono.just(new ConfigurationResponse(
                    0, "", Configurations.write(org.woadvale.common.config.Configuration.empty()), new byte[0]));
        }
        return Mono.justOrEmpty(steps.stream()
                        .filter(s -> version < 0 ? s == steps.get(steps.size() - 1) : s.version() == version)
                        .findFirst()
                        .map(s -> new ConfigurationResponse(s.version(), s.author(), s.configuration(), s.original())))
                .switchIfEmpty(Mono.error(
                        new ServiceException(ErrorKind.NOT_FOUND, "The version " + version + " is not kept.")));
    }

    public Mono<Response> handle(Request q) {
        return Mono.defer(() -> route(q))
                .onErrorResume(e -> Mono.just(Response.of(asUnavailable(ServiceException.of(e)))));
    }

    /** Where the owner was not found nothing was written; where it was lost midway nobody knows yet. */
    private static ServiceException asUnavailable(ServiceException f) {
        return f.kind() == ErrorKind.NOT_OWNER || f.kind() == ErrorKind.UNREACHABLE
                ? new ServiceException(ErrorKind.UNAVAILABLE, "No owner of the part could be reached.")
                : f;
    }

    /** A read that got no answer in time has changed nothing. */
    private static ServiceException asFailedRead(ServiceException f) {
        return f.kind() == ErrorKind.UNKNOWN_OUTCOME
                ? new ServiceException(ErrorKind.UNAVAILABLE, "No answer of a leader came in time.")
                : f;
    }

    private Mono<Response> route(Request q) {
        List<String> s = q.segments();
        String op = q.method() + " " + String.join("/", s.subList(0, Math.min(2, s.size())));
        if (op.equals("GET v1/liveness")) {
            return Mono.just(Response.json(200, Map.of("alive", true)));
        } else if (op.equals("GET v1/readiness")) {
            return Mono.just(Response.json(node.ready() ? 200 : 503, Map.of("ready", node.ready())));
        } else if (op.equals("GET v1/status")) {
            return Mono.just(Response.json(200, Map.of("parts", node.status(), "lighthouses", node.controlNodes())));
        }
        if (!operatorKeySha256.isEmpty()
                && q.secret()
                        .map(Configurations::sha256)
                        .filter(operatorKeySha256::equals)
                        .isEmpty()) {
            return Mono.error(new ServiceException(ErrorKind.UNAUTHORISED, "The operator key is missing or wrong."));
        }
        return switch (op) {
            case "PUT v1/layout" -> putConfiguration(q);
            case "GET v1/layout" -> s.size() > 2 && s.get(2).equals("history") ? getHistory() : getConfiguration(s);
            case "POST v1/drain" -> Mono.just(Response.json(200, Map.of("drained", node.drain())));
            case "GET v1/services", "PUT v1/services", "DELETE v1/services" -> platform.processors(q, s);
            case "PUT v1/core" -> platform.core(q);
            default -> Mono.error(new ServiceException(ErrorKind.NOT_FOUND, "No such place: " + q.path() + "."));
        };
    }

    private Mono<Response> putConfiguration(Request q) {
        try {
            Configurations.configuration(q.body());
        } catch (ServiceException e) {
            return Mono.error(e);
        }
        Optional<Long> base = q.header("if-match")
                .map(h -> h.replace("\"", ""))
                .filter(h -> h.matches("[0-9]{1,18}"))
                .map(Long::valueOf);
        if (base.isEmpty()) {
            return Mono.error(new ServiceException(
                    ErrorKind.BAD_REQUEST, "If-Match must carry the base version, a whole number."));
        }
        String id = q.header("x-request-id")
                .orElseGet(() -> "auto-" + ThreadLocalRandom.current().nextLong());
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            return Mono.error(
                    new ServiceException(ErrorKind.BAD_REQUEST, "X-Request-Id must be 1 to 64 letters, digits, . _ -"));
        }
        ControlMessages.PutConfiguration put = new ControlMessages.PutConfiguration(
                id, base.get(), q.body(), q.header("x-author").orElse(""));
        return putConfiguration(put)
                .map(t -> Response.json(200, Map.of("version", t.version(), "repeated", t.repeated(), "requestId", id))
                        .with("ETag", "\"" + t.version() + "\""));
    }

    public ControlNode node() {
        return node;
    }

    /** Checked by the caller; the answer is a definite yes or no, or UNKNOWN_OUTCOME. design 6.4 */
    public Mono<ControlMessages.ConfigurationAccepted> putConfiguration(ControlMessages.PutConfiguration p) {
        return node.call("c0", new PutConfigurationRequest(p), ControlMessages.ConfigurationAccepted.class);
    }

    /** A kept configuration by its version, the newest for -1. */
    public Mono<ConfigurationResponse> configuration(long version) {
        return node.call("c0", new GetConfigurationRequest(version), ConfigurationResponse.class)
                .onErrorMap(e -> asFailedRead(ServiceException.of(e)));
    }

    private Mono<Response> getConfiguration(List<String> s) {
        long version = s.size() > 2 && s.get(2).matches("[0-9]{1,18}") ? Long.parseLong(s.get(2)) : -1;
        return configuration(version)
                .map(l -> new Response(200, Map.of("Content-Type", "application/json"), l.configuration())
                        .with("ETag", "\"" + l.version() + "\""));
    }

    private Mono<Response> getHistory() {
        return node.call("c0", new GetHistoryRequest(0), HistoryResponse.class).map(h -> {
            List<Map<String, Object>> rows = new java.util.ArrayList<>();
            for (int i = 0; i < h.versions().size(); i++) {
                rows.add(Map.of(
                        "version",
                        h.versions().get(i),
                        "requestId",
                        h.requests().get(i),
                        "author",
                        h.authors().get(i)));
            }
            return Response.json(200, Map.of("versions", rows));
        });
    }
}
