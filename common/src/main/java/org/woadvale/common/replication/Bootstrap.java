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
    private final Replica r;
    private final Map<String, String> uninitializedMembers = new TreeMap<>();
    private Duration nextAttempt = Duration.ZERO;

    Bootstrap(Replica r) {
        this.r = r;
    }

    /** Only the first of the wanted list founds, and only when every member reports blank. */
    void onTick() {
        boolean first = !r.desiredMembers.isEmpty() && r.desiredMembers.get(0).equals(r.environment.self());
        if (!first || !r.membership.latest().isEmpty() || r.now().compareTo(nextAttempt) < 0) {
            return;
        }
        nextAttempt = r.now().plus(RETRY_PERIOD);
        uninitializedMembers.clear();
        uninitializedMembers.put(r.environment.self(), r.identity);
        for (String n : r.desiredMembers) {
            if (!n.equals(r.environment.self())) {
                r.shard.afterUnlock(() -> r.environment
                        .rpc()
                        .call(
                                n,
                                new ReplicationMessages.BootstrapStatusRequest(r.partition),
                                ReplicationMessages.BootstrapStatusResponse.class,
                                r.environment.timing().requestTimeout())
                        .subscribe(b -> r.shard.run(() -> onStatus(n, b)), e -> {}));
            }
        }
        if (r.desiredMembers.size() == 1) {
            onStatus(r.environment.self(), new ReplicationMessages.BootstrapStatusResponse(true, r.identity));
        }
    }

    private void onStatus(String from, ReplicationMessages.BootstrapStatusResponse b) {
        if (!b.uninitialized()
                || r.role != Role.UNINITIALIZED
                || !r.membership.latest().isEmpty()) {
            return;
        }
        uninitializedMembers.put(from, b.identity());
        if (!uninitializedMembers.keySet().containsAll(r.desiredMembers)) {
            return;
        }
        Map<String, String> group = new TreeMap<>(uninitializedMembers);
        initialize(group);
        group.forEach((n, id) -> {
            if (!n.equals(r.environment.self())) {
                send(n, new ReplicationMessages.BootstrapRequest(r.partition, id, group));
            }
        });
    }

    private void send(String n, ReplicationMessages.BootstrapRequest f) {
        r.shard.afterUnlock(() -> r.environment
                .rpc()
                .call(
                        n,
                        f,
                        ReplicationMessages.Acknowledgement.class,
                        r.environment.timing().requestTimeout())
                .subscribe(ok -> {}, e -> {}));
    }

    private void initialize(Map<String, String> group) {
        r.membership.reset(group);
        // design 5.5: before the bootstrap nobody could hold a lease
        r.leaderLeaseUntil = r.now();
        becomeVoter("the group is founded");
    }

    private void becomeVoter(String why) {
        r.voter = true;
        r.transitionTo(Role.FOLLOWER, why);
        r.storage.storeSnapshot();
    }

    /** Voter again once a committed group entry names our new identity; it was committed without us. */
    void promoteIfMember() {
        if (r.role == Role.UNINITIALIZED
                && r.identity.equals(r.membership.committed().get(r.environment.self()))) {
            Replica.LOG.info("keeper: {} at {} has caught up and counts again.", r.partition, r.environment.self());
            becomeVoter("seated by a committed entry");
        }
    }

    Mono<Object> onRequest(Object body) {
        boolean blank = r.role == Role.UNINITIALIZED && r.membership.latest().isEmpty();
        if (body instanceof ReplicationMessages.BootstrapStatusRequest) {
            return Mono.just(new ReplicationMessages.BootstrapStatusResponse(blank, r.identity));
        }
        if (body instanceof ReplicationMessages.BootstrapRequest f) {
            if (blank && f.identity().equals(r.identity)) {
                Sinks.One<Object> out = Sinks.one();
                initialize(f.members());
                out.tryEmitValue(new ReplicationMessages.Acknowledgement(true));
                return out.asMono();
            }
            return Mono.just(new ReplicationMessages.Acknowledgement(false));
        }
        return Mono.error(new ServiceException(ErrorKind.BAD_REQUEST, "A replica does not answer this."));
    }
}
