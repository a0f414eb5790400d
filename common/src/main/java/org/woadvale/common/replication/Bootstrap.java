package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import reactor.core.publisher.Mono;

/**
 * Founds a group: its preferred leader makes the desired members a group once each of them has reported that it has
 * nothing. That the members do not agree on this first is a known gap: docs/limits.md, Founding.
 */
final class Bootstrap {
    private static final Duration RETRY_PERIOD = Duration.ofMillis(300);

    private final ReplicaState state;
    private final VoterPromotion promotion;
    private final Map<String, String> uninitializedMembers = new TreeMap<>();
    private Duration nextAttempt = Duration.ZERO;

    Bootstrap(ReplicaState state, VoterPromotion promotion) {
        this.state = state;
        this.promotion = promotion;
    }

    /** Asks all desired members for their state, again and again until the group is founded. */
    void onTick() {
        if (!state.isPreferredLeader()
                || !state.membership().latest().isEmpty()
                || state.now().compareTo(nextAttempt) < 0) {
            return;
        }
        nextAttempt = state.now().plus(RETRY_PERIOD);
        uninitializedMembers.clear();
        uninitializedMembers.put(state.self(), state.identity());
        for (String node : state.desiredMembers()) {
            if (!node.equals(state.self())) {
                askForStatus(node);
            }
        }
        if (state.desiredMembers().size() == 1) {
            onStatus(state.self(), new ReplicationMessages.BootstrapStatusResponse(true, state.identity()));
        }
    }

    private void askForStatus(String node) {
        ReplicationMessages.BootstrapStatusRequest request =
                new ReplicationMessages.BootstrapStatusRequest(state.partition());
        state.shard()
                .afterUnlock(() -> state.environment()
                        .rpc()
                        .call(
                                node,
                                request,
                                ReplicationMessages.BootstrapStatusResponse.class,
                                state.timing().requestTimeout())
                        .subscribe(response -> state.shard().run(() -> onStatus(node, response)), e -> {}));
    }

    private void onStatus(String from, ReplicationMessages.BootstrapStatusResponse response) {
        if (!response.uninitialized() || !isUninitialized()) {
            return;
        }
        uninitializedMembers.put(from, response.identity());
        if (!uninitializedMembers.keySet().containsAll(state.desiredMembers())) {
            return;
        }
        Map<String, String> members = new TreeMap<>(uninitializedMembers);
        initialize(members);
        members.forEach((node, identity) -> {
            if (!node.equals(state.self())) {
                send(node, new ReplicationMessages.BootstrapRequest(state.partition(), identity, members));
            }
        });
    }

    private void send(String node, ReplicationMessages.BootstrapRequest request) {
        state.shard()
                .afterUnlock(() -> state.environment()
                        .rpc()
                        .call(
                                node,
                                request,
                                ReplicationMessages.Acknowledgement.class,
                                state.timing().requestTimeout())
                        .subscribe(acknowledgement -> {}, e -> {}));
    }

    private void initialize(Map<String, String> members) {
        state.membership().reset(members);
        state.expireLeaderLease();
        promotion.promote("bootstrapped");
    }

    private boolean isUninitialized() {
        return state.role() == Role.UNINITIALIZED && state.membership().latest().isEmpty();
    }

    Mono<ReplicationMessages.BootstrapStatusResponse> onStatusRequest() {
        return Mono.just(new ReplicationMessages.BootstrapStatusResponse(isUninitialized(), state.identity()));
    }

    /** Accepted only by the very identity that reported that it has nothing. */
    Mono<ReplicationMessages.Acknowledgement> onBootstrap(ReplicationMessages.BootstrapRequest request) {
        boolean accepted = isUninitialized() && request.identity().equals(state.identity());
        if (accepted) {
            initialize(request.members());
        }
        return Mono.just(new ReplicationMessages.Acknowledgement(accepted));
    }
}
