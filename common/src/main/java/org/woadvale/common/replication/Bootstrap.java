package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** First formation, and the promotion by which a replica may vote again: design 5.5. */
final class Bootstrap {
    private static final Duration RETRY_PERIOD = Duration.ofMillis(300);
    private final Replica replica;
    private final Map<String, String> uninitializedMembers = new TreeMap<>();
    private Duration nextAttempt = Duration.ZERO;

    Bootstrap(Replica replica) {
        this.replica = replica;
    }

    /** Only the first of the wanted list founds, and only when every member reports blank. */
    void onTick() {
        boolean first = !replica.desiredMembers.isEmpty()
                && replica.desiredMembers.get(0).equals(replica.environment.self());
        if (!first || !replica.membership.latest().isEmpty() || replica.now().compareTo(nextAttempt) < 0) {
            return;
        }
        nextAttempt = replica.now().plus(RETRY_PERIOD);
        uninitializedMembers.clear();
        uninitializedMembers.put(replica.environment.self(), replica.identity);
        for (String n : replica.desiredMembers) {
            if (!n.equals(replica.environment.self())) {
                replica.shard.afterUnlock(() -> replica.environment
                        .rpc()
                        .call(
                                n,
                                new ReplicationMessages.BootstrapStatusRequest(replica.partition),
                                ReplicationMessages.BootstrapStatusResponse.class,
                                replica.environment.timing().requestTimeout())
                        .subscribe(response -> replica.shard.run(() -> onStatus(n, response)), e -> {}));
            }
        }
        if (replica.desiredMembers.size() == 1) {
            onStatus(
                    replica.environment.self(),
                    new ReplicationMessages.BootstrapStatusResponse(true, replica.identity));
        }
    }

    private void onStatus(String from, ReplicationMessages.BootstrapStatusResponse response) {
        if (!response.uninitialized()
                || replica.role != Role.UNINITIALIZED
                || !replica.membership.latest().isEmpty()) {
            return;
        }
        uninitializedMembers.put(from, response.identity());
        if (!uninitializedMembers.keySet().containsAll(replica.desiredMembers)) {
            return;
        }
        Map<String, String> group = new TreeMap<>(uninitializedMembers);
        initialize(group);
        group.forEach((n, id) -> {
            if (!n.equals(replica.environment.self())) {
                send(n, new ReplicationMessages.BootstrapRequest(replica.partition, id, group));
            }
        });
    }

    private void send(String n, ReplicationMessages.BootstrapRequest request) {
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        n,
                        request,
                        ReplicationMessages.Acknowledgement.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(ok -> {}, e -> {}));
    }

    private void initialize(Map<String, String> group) {
        replica.membership.reset(group);
        // design 5.5: before the bootstrap nobody could hold a lease
        replica.leaderLeaseUntil = replica.now();
        becomeVoter("bootstrapped");
    }

    private void becomeVoter(String why) {
        replica.voter = true;
        replica.transitionTo(Role.FOLLOWER, why);
        replica.storage.storeSnapshot();
    }

    /** Voter again once a committed group entry names our new identity; it was committed without us. */
    void promoteIfMember() {
        if (replica.role == Role.UNINITIALIZED
                && replica.identity.equals(replica.membership.committed().get(replica.environment.self()))) {
            Replica.LOG.info(
                    "Partition {} at {} has caught up and votes again.", replica.partition, replica.environment.self());
            becomeVoter("member by a committed entry");
        }
    }

    Mono<Object> onRequest(Object body) {
        boolean blank = replica.role == Role.UNINITIALIZED
                && replica.membership.latest().isEmpty();
        if (body instanceof ReplicationMessages.BootstrapStatusRequest) {
            return Mono.just(new ReplicationMessages.BootstrapStatusResponse(blank, replica.identity));
        }
        if (body instanceof ReplicationMessages.BootstrapRequest request) {
            if (blank && request.identity().equals(replica.identity)) {
                Sinks.One<Object> out = Sinks.one();
                initialize(request.members());
                out.tryEmitValue(new ReplicationMessages.Acknowledgement(true));
                return out.asMono();
            }
            return Mono.just(new ReplicationMessages.Acknowledgement(false));
        }
        return Mono.error(new ServiceException(ErrorKind.BAD_REQUEST, "A replica does not answer this."));
    }
}
