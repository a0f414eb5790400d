package org.woadvale.controlplane.api;

import java.util.List;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.config.PackedConfiguration;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ConfigurationAccepted;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Stage;
import org.woadvale.controlplane.api.ControlApiMessages.ConfigurationResponse;
import org.woadvale.controlplane.api.ControlApiMessages.GetConfigurationRequest;
import org.woadvale.controlplane.api.ControlApiMessages.GetHistoryRequest;
import org.woadvale.controlplane.api.ControlApiMessages.HistoryResponse;
import org.woadvale.controlplane.api.ControlApiMessages.PutConfigurationRequest;
import org.woadvale.controlplane.configuration.ConfigurationLog.ConfigurationRevision;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/** Reads and updates the configuration from any control node, by requests to the leader of its partition. */
public final class ConfigurationService {
    private static final String PARTITION = ServiceNames.controlPartition(ServiceNames.CONFIGURATION);

    /** Maximum number of updates that wait for the current one to be decided. */
    private static final int MAX_WAITING_UPDATES = 32;

    private final ControlNode node;
    private final Stage<ControlMessages.PutConfiguration, ConfigurationAccepted> updates;

    ConfigurationService(ControlNode node) {
        this.node = node;
        this.updates = new Stage<>("configurations", MAX_WAITING_UPDATES, 1, this::decide);
    }

    /** Registers the handlers for requests to the leader of the partition. */
    void route(RpcRouter router) {
        router.on(PutConfigurationRequest.class, (from, request) -> updates.submit(request.put()))
                .on(
                        GetConfigurationRequest.class,
                        (from, request) -> revisions().flatMap(revisions -> find(revisions, request.version())))
                .on(GetHistoryRequest.class, (from, request) -> revisions().map(ConfigurationService::history));
    }

    /** Proposes one update at a time; an update that the current state alone can reject is not written to the log. */
    private Mono<ConfigurationAccepted> decide(ControlMessages.PutConfiguration update) {
        Replica<ControlCommand, ControlResult> replica = node.replica(PARTITION);
        return replica.read(index -> rejection(update, replica.unappliedBytes()))
                .flatMap(rejection -> rejection.isPresent()
                        ? Mono.error(rejection.get())
                        : replica.propose(update, ConfigurationAccepted.class));
    }

    private Optional<ServiceException> rejection(ControlMessages.PutConfiguration update, long unappliedBytes) {
        return node.stateMachine(PARTITION)
                .configurations()
                .rejectionReason(update, node.largestRecordBytes(), unappliedBytes);
    }

    private Mono<List<ConfigurationRevision>> revisions() {
        return node.replica(PARTITION)
                .read(index -> node.stateMachine(PARTITION).configurations().revisions());
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
        return Mono.justOrEmpty(found)
                .flatMap(ConfigurationService::response)
                .switchIfEmpty(Mono.error(new NotFoundException("The version " + version + " is not kept.")));
    }

    private static Mono<ConfigurationResponse> response(ConfigurationRevision revision) {
        try {
            byte[] text = PackedConfiguration.unpack(revision.configuration());
            return Mono.just(
                    new ConfigurationResponse(revision.version(), revision.author(), text, revision.original()));
        } catch (ServiceException e) {
            return Mono.error(e);
        }
    }

    private static HistoryResponse history(List<ConfigurationRevision> revisions) {
        return new HistoryResponse(
                revisions.stream().map(ConfigurationRevision::version).toList(),
                revisions.stream().map(ConfigurationRevision::requestId).toList(),
                revisions.stream().map(ConfigurationRevision::author).toList());
    }

    /**
     * Submits an update that the caller has validated.
     *
     * @return the accepted version; fails with a definite rejection or with {@link OutcomeUnknownException}
     */
    public Mono<ConfigurationAccepted> put(ControlMessages.PutConfiguration update) {
        return node.call(PARTITION, new PutConfigurationRequest(update), ConfigurationAccepted.class);
    }

    /**
     * Returns a retained revision by its version, or the newest for a negative version. The result is never older than
     * an acknowledged update.
     */
    public Mono<ConfigurationResponse> get(long version) {
        return node.call(PARTITION, new GetConfigurationRequest(version), ConfigurationResponse.class)
                .onErrorMap(error -> asFailedRead(ServiceException.of(error)));
    }

    /** The retained revisions, oldest first. */
    Mono<HistoryResponse> history() {
        return node.call(PARTITION, new GetHistoryRequest(0), HistoryResponse.class);
    }

    /** Maps an unknown outcome to UNAVAILABLE, since a read changes nothing. */
    private static ServiceException asFailedRead(ServiceException failure) {
        return failure instanceof OutcomeUnknownException
                ? new UnavailableException("No answer of a leader came in time.")
                : failure;
    }
}
