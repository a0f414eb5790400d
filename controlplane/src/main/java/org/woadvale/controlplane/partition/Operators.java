package org.woadvale.controlplane.partition;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Answer;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/** HTTP for operators and the platform, on any control node; each request finds its owner. design 6.4 */
public final class Operators {
    public static final int MAX_CONFIGURATION = 1 << 20;

    /** Carried from the asked control node to the owner of part 0. */
    public record ConfigurationPut(ControlMessages.PutConfiguration put) implements RepeatableRequest {}

    public record ConfigurationGet(long version) implements RepeatableRequest {}

    public record ConfigurationIs(
            long version,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    public record HistoryGet(int most) implements RepeatableRequest {}

    public record History(List<Long> versions, List<String> requests, List<String> authors) {}

    public record ProcessorsGet(String service) implements RepeatableRequest {}

    public record Processors(Map<String, Processor> processors, long version) {}

    public static List<Class<?>> types() {
        return List.of(
                ControlStateMachine.State.class,
                ConfigurationLog.Step.class,
                ConfigurationPut.class,
                ConfigurationGet.class,
                ConfigurationIs.class,
                HistoryGet.class,
                History.class,
                ProcessorsGet.class,
                Processors.class,
                ConfigurationLog.Known.class,
                ConfigurationLog.RefusedOrder.class,
                AppliedRequests.Outcome.class);
    }

    private final ControlNode node;
    private final String operatorKeySha256;
    private final Platform platform;

    public Operators(ControlNode node, String operatorKeySha256) {
        this.node = node;
        this.operatorKeySha256 = operatorKeySha256;
        this.platform = new Platform(node);
    }

    public void route(org.woadvale.common.rpc.RpcRouter router) {
        ControlStateMachine m = node.machine("c0");
        router.on(
                        ConfigurationPut.class,
                        (f, a) -> node.replica("c0").propose(a.put(), ControlMessages.ConfigurationTaken.class))
                .on(
                        ConfigurationGet.class,
                        (f, a) -> node.replica("c0")
                                .read(i -> m.configurations().steps())
                                .flatMap(steps -> pick(steps, a.version())))
                .on(
                        HistoryGet.class,
                        (f, a) -> node.replica("c0")
                                .read(i -> m.configurations().steps())
                                .map(s -> new History(
                                        s.stream()
                                                .map(ConfigurationLog.Step::version)
                                                .toList(),
                                        s.stream()
                                                .map(ConfigurationLog.Step::requestId)
                                                .toList(),
                                        s.stream()
                                                .map(ConfigurationLog.Step::author)
                                                .toList())))
                .on(
                        ProcessorsGet.class,
                        (f, a) -> node.replica(ServiceNames.controlPart(a.service()))
                                .read(i -> {
                                    ServiceView v = node.machine(ServiceNames.controlPart(a.service()))
                                            .service(a.service());
                                    return new Processors(v.processors(), v.version());
                                }));
    }

    private static Mono<ConfigurationIs> pick(List<ConfigurationLog.Step> steps, long version) {
        if (steps.isEmpty() && version <= 0) {
            return Mono.just(new ConfigurationIs(
                    0, "", Configurations.write(org.woadvale.common.config.Configuration.empty()), new byte[0]));
        }
        return Mono.justOrEmpty(steps.stream()
                        .filter(s -> version < 0 ? s == steps.get(steps.size() - 1) : s.version() == version)
                        .findFirst()
                        .map(s -> new ConfigurationIs(s.version(), s.author(), s.configuration(), s.original())))
                .switchIfEmpty(Mono.error(
                        new ServiceException(ErrorKind.NOT_FOUND, "The version " + version + " is not kept.")));
    }

    public Mono<Answer> answer(Request q) {
        return Mono.defer(() -> route(q)).onErrorResume(e -> Mono.just(Answer.of(softened(ServiceException.of(e)))));
    }

    /** Where the owner was not found nothing was written; where it was lost midway nobody knows yet. */
    private static ServiceException softened(ServiceException f) {
        return f.kind() == ErrorKind.NOT_OWNER || f.kind() == ErrorKind.UNREACHABLE
                ? new ServiceException(ErrorKind.UNAVAILABLE, "No owner of the part could be reached.")
                : f;
    }

    /** A read that got no answer in time has changed nothing. */
    private static ServiceException unread(ServiceException f) {
        return f.kind() == ErrorKind.UNKNOWN_OUTCOME
                ? new ServiceException(ErrorKind.UNAVAILABLE, "No answer of a leader came in time.")
                : f;
    }

    private Mono<Answer> route(Request q) {
        List<String> s = q.segments();
        String op = q.method() + " " + String.join("/", s.subList(0, Math.min(2, s.size())));
        if (op.equals("GET v1/liveness")) {
            return Mono.just(Answer.json(200, Map.of("alive", true)));
        } else if (op.equals("GET v1/readiness")) {
            return Mono.just(Answer.json(node.ready() ? 200 : 503, Map.of("ready", node.ready())));
        } else if (op.equals("GET v1/status")) {
            return Mono.just(Answer.json(200, Map.of("parts", node.status(), "lighthouses", node.lighthouses())));
        }
        if (!operatorKeySha256.isEmpty()
                && q.secret()
                        .map(Configurations::sha256)
                        .filter(operatorKeySha256::equals)
                        .isEmpty()) {
            return Mono.error(new ServiceException(ErrorKind.UNAUTHORISED, "The operator key is missing or wrong."));
        }
        return switch (op) {
            case "PUT v1/layout" -> put(q);
            case "GET v1/layout" -> s.size() > 2 && s.get(2).equals("history") ? history() : get(s);
            case "POST v1/drain" -> Mono.just(Answer.json(200, Map.of("drained", node.drain())));
            case "GET v1/services", "PUT v1/services", "DELETE v1/services" -> platform.processors(q, s);
            case "PUT v1/core" -> platform.core(q);
            default -> Mono.error(new ServiceException(ErrorKind.NOT_FOUND, "No such place: " + q.path() + "."));
        };
    }

    private Mono<Answer> put(Request q) {
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
        return put(put).map(
                        t -> Answer.json(200, Map.of("version", t.version(), "repeated", t.repeated(), "requestId", id))
                                .with("ETag", "\"" + t.version() + "\""));
    }

    public ControlNode node() {
        return node;
    }

    /** Checked by the caller; the answer is a definite yes or no, or UNKNOWN_OUTCOME. design 6.4 */
    public Mono<ControlMessages.ConfigurationTaken> put(ControlMessages.PutConfiguration p) {
        return node.ask("c0", new ConfigurationPut(p), ControlMessages.ConfigurationTaken.class);
    }

    /** A kept configuration by its version, the newest for -1. */
    public Mono<ConfigurationIs> configuration(long version) {
        return node.ask("c0", new ConfigurationGet(version), ConfigurationIs.class)
                .onErrorMap(e -> unread(ServiceException.of(e)));
    }

    private Mono<Answer> get(List<String> s) {
        long version = s.size() > 2 && s.get(2).matches("[0-9]{1,18}") ? Long.parseLong(s.get(2)) : -1;
        return configuration(version)
                .map(l -> new Answer(200, Map.of("Content-Type", "application/json"), l.configuration())
                        .with("ETag", "\"" + l.version() + "\""));
    }

    private Mono<Answer> history() {
        return node.ask("c0", new HistoryGet(0), History.class).map(h -> {
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
            return Answer.json(200, Map.of("versions", rows));
        });
    }
}
