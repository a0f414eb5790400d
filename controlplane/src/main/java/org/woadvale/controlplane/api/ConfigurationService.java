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

/** Reads and updates of the configuration from any control node; the leader of its partition decides. */
public final class ConfigurationService {
    private static final String PARTITION = ServiceNames.controlPartition(ServiceNames.CONFIGURATION);

    /** So many updates wait for the one before them to be decided. */
    private static final int UPDATES_WAITING = 32;

    private final ControlNode node;
    private final Stage<ControlMessages.PutConfiguration, ConfigurationAccepted> updates;

    ConfigurationService(ControlNode node) {
        this.node = node;
        this.updates = new Stage<>("configurations", UPDATES_WAITING, 1, this::decide);
    }

    /** What this node answers as the leader of the partition. */
    void route(RpcRouter router) {
        router.on(PutConfigurationRequest.class, (from, request) -> updates.submit(request.put()))
                .on(
                        GetConfigurationRequest.class,
                        (from, request) -> revisions().flatMap(revisions -> find(revisions, request.version())))
                .on(GetHistoryRequest.class, (from, request) -> revisions().map(ConfigurationService::history));
    }

    /** One update at a time is in the log; what needs no record is decided by the present state alone. */
    private Mono<ConfigurationAccepted> decide(ControlMessages.PutConfiguration update) {
        Replica<ControlCommand, ControlResult> replica = node.replica(PARTITION);
        return replica.read(index -> refusal(update, replica.unappliedBytes()))
                .flatMap(refusal -> refusal.isPresent()
                        ? Mono.error(refusal.get())
                        : replica.propose(update, ConfigurationAccepted.class));
    }

    private Optional<ServiceException> refusal(ControlMessages.PutConfiguration update, long unappliedBytes) {
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
