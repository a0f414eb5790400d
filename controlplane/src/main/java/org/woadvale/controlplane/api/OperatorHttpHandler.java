package org.woadvale.controlplane.api;

import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnauthorizedException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.http.HttpRouter;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/**
 * HTTP handler for operators and the platform, on any control node; requests are forwarded to the leader of the
 * partition concerned. Liveness, readiness and status require no key.
 */
public final class OperatorHttpHandler {
    /** The maximum size of a request body, in bytes. */
    public static final int MAX_CONFIGURATION_BYTES = 1 << 20;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final ControlNode node;
    private final String operatorKeySha256;
    private final ConfigurationService configurations;
    private final ProcessorListService processorLists;
    private final HttpRouter publicRoutes = new HttpRouter();
    private final HttpRouter operatorRoutes = new HttpRouter();

    /**
     * Creates the handler of one node.
     *
     * @param operatorKeySha256 the SHA-256 hash of the operator key in hexadecimal; empty if no key is required
     */
    public OperatorHttpHandler(ControlNode node, String operatorKeySha256) {
        this.node = node;
        this.operatorKeySha256 = operatorKeySha256;
        this.configurations = new ConfigurationService(node);
        this.processorLists = new ProcessorListService(node);
        publicRoutes
                .on("GET v1/liveness/**", (request, path) -> json(OK, Map.of("alive", true)))
                .on("GET v1/readiness/**", (request, path) -> readiness())
                .on("GET v1/status/**", (request, path) -> status());
        operatorRoutes.on("POST v1/drain/**", (request, path) -> json(OK, Map.of("drained", node.drain())));
        new ConfigurationHttpHandler(configurations).route(operatorRoutes);
        new ProcessorHttpHandler(processorLists).route(operatorRoutes);
        new CoreHttpHandler(node).route(operatorRoutes);
    }

    /** Registers the handlers for requests that other control nodes forward for operators. */
    public void route(RpcRouter router) {
        configurations.route(router);
        processorLists.route(router);
    }

    /** The node that this handler belongs to. */
    public ControlNode node() {
        return node;
    }

    /** The service that reads and updates the configuration. */
    public ConfigurationService configurations() {
        return configurations;
    }

    /** Handles a request; a failure becomes an error response. */
    public Mono<Response> handle(Request request) {
        return Mono.defer(() -> {
                    try {
                        return route(request);
                    } catch (ServiceException e) {
                        return Mono.error(e);
                    }
                })
                .onErrorResume(error -> Mono.just(Response.of(asUnavailable(ServiceException.of(error)))));
    }

    private Mono<Response> route(Request request) throws ServiceException {
        Optional<Mono<Response>> publicResponse = publicRoutes.route(request);
        if (publicResponse.isPresent()) {
            return publicResponse.get();
        }
        requireOperatorKey(request);
        return operatorRoutes
                .route(request)
                .orElseThrow(() -> new NotFoundException("No such place: " + request.path() + "."));
    }

    private void requireOperatorKey(Request request) throws UnauthorizedException {
        boolean allowed = operatorKeySha256.isEmpty()
                || request.bearerToken()
                        .map(Configurations::sha256)
                        .filter(operatorKeySha256::equals)
                        .isPresent();
        if (!allowed) {
            throw new UnauthorizedException("The operator key is missing or wrong.");
        }
    }

    private Mono<Response> readiness() {
        boolean ready = node.ready();
        return json(ready ? OK : UNAVAILABLE, Map.of("ready", ready));
    }

    private Mono<Response> status() {
        return json(OK, Map.of("parts", node.status(), "lighthouses", node.controlNodes()));
    }

    private static Mono<Response> json(int status, Object body) {
        return Mono.just(Response.json(status, body));
    }

    /**
     * Maps failures to reach a leader to UNAVAILABLE, since nothing was written. Other failures stay: if the leader was
     * lost during the request, the outcome is unknown.
     */
    private static ServiceException asUnavailable(ServiceException failure) {
        boolean notSent = failure instanceof NotLeaderException || failure instanceof UnreachableException;
        return notSent ? new UnavailableException("No leader of the partition could be reached.") : failure;
    }
}
