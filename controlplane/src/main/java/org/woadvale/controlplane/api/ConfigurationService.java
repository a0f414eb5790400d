package org.woadvale.controlplane.api;

import java.util.List;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ConfigurationAccepted;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.controlplane.api.ControlApiMessages.ConfigurationResponse;
import org.woadvale.controlplane.api.ControlApiMessages.GetConfigurationRequest;
import org.woadvale.controlplane.api.ControlApiMessages.GetHistoryRequest;
import org.woadvale.controlplane.api.ControlApiMessages.HistoryResponse;
import org.woadvale.controlplane.api.ControlApiMessages.PutConfigurationRequest;
import org.woadvale.controlplane.configuration.ConfigurationLog.ConfigurationRevision;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/** Reads and updates of the configuration from any control node; the leader of its partition decides. */
public final class ConfigurationService {
    private static final String PARTITION = ServiceNames.controlPart(ServiceNames.CONFIGURATION);

    private final ControlNode node;

    ConfigurationService(ControlNode node) {
        this.node = node;
    }

    /** What this node answers as the leader of the partition. */
    void route(RpcRouter router) {
        router.on(
                        PutConfigurationRequest.class,
                        (from, request) -> node.replica(PARTITION).propose(request.put(), ConfigurationAccepted.class))
                .on(
                        GetConfigurationRequest.class,
                        (from, request) -> revisions().flatMap(revisions -> find(revisions, request.version())))
                .on(GetHistoryRequest.class, (from, request) -> revisions().map(ConfigurationService::history));
    }

    private Mono<List<ConfigurationRevision>> revisions() {
        return node.replica(PARTITION)
                .read(index -> node.machine(PARTITION).configurations().revisions());
    }

    private static Mono<ConfigurationResponse> find(List<ConfigurationRevision> revisions, long version) {
        if (revisions.isEmpty() && version <= 0) {
            return Mono.just(
                    new ConfigurationResponse(0, "", Configurations.write(Configuration.empty()), new byte[0]));
        }
        Optional<ConfigurationRevision> found = version < 0
                ? Optional.of(revisions.get(revisions.size() - 1))
                : revisions.stream()
                        .filter(revision -> revision.version() == version)
                        .findFirst();
        return Mono.justOrEmpty(found.map(revision -> new ConfigurationResponse(
                        revision.version(), revision.author(), revision.configuration(), revision.original())))
                .switchIfEmpty(Mono.error(new NotFoundException("The version " + version + " is not kept.")));
    }

    private static HistoryResponse history(List<ConfigurationRevision> revisions) {
        return new HistoryResponse(
                revisions.stream().map(ConfigurationRevision::version).toList(),
                revisions.stream().map(ConfigurationRevision::requestId).toList(),
                revisions.stream().map(ConfigurationRevision::author).toList());
    }

    /**
     * Decides an update that was checked by the caller.
     *
     * @return a definite yes, or an exception: a definite no, or {@link OutcomeUnknownException}
     */
    public Mono<ConfigurationAccepted> put(ControlMessages.PutConfiguration update) {
        return node.call(PARTITION, new PutConfigurationRequest(update), ConfigurationAccepted.class);
    }

    /**
     * A revision that is kept, by its version; the newest for a negative one. Never older than what was acknowledged.
     */
    public Mono<ConfigurationResponse> get(long version) {
        return node.call(PARTITION, new GetConfigurationRequest(version), ConfigurationResponse.class)
                .onErrorMap(error -> asFailedRead(ServiceException.of(error)));
    }

    /** The revisions that are kept, the oldest first. */
    Mono<HistoryResponse> history() {
        return node.call(PARTITION, new GetHistoryRequest(0), HistoryResponse.class);
    }

    /** A read that got no answer in time has changed nothing. */
    private static ServiceException asFailedRead(ServiceException failure) {
        return failure instanceof OutcomeUnknownException
                ? new UnavailableException("No answer of a leader came in time.")
                : failure;
    }
}
