package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.controlplane.api.ControlApiMessages;
import reactor.core.publisher.Mono;

/**
 * Control nodes without one mechanism of docs/design.md, section 6.11: the checks of the operators' history must detect
 * its absence.
 */
public final class DisabledConfigurationMechanisms {
    private DisabledConfigurationMechanisms() {}

    private abstract static class Forwarding implements RpcClient {
        private final RpcClient rpc;

        Forwarding(RpcClient rpc) {
            this.rpc = rpc;
        }

        @Override
        public String self() {
            return rpc.self();
        }

        <T> Mono<T> forward(String to, Object body, Class<T> answer, Duration limit) {
            return rpc.call(to, body, answer, limit);
        }
    }

    /** Every attempt at a configuration update has its own request id, so that a repeated update is evaluated again. */
    public static FleetOverrides withoutRequestIdentity() {
        AtomicLong requestIds = new AtomicLong();
        return FleetOverrides.none().withRpc((address, rpc) -> new Forwarding(rpc) {
            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                return forward(
                        to,
                        body instanceof ControlApiMessages.PutConfigurationRequest request
                                ? withNewRequestId(request)
                                : body,
                        answer,
                        limit);
            }

            private ControlApiMessages.PutConfigurationRequest withNewRequestId(
                    ControlApiMessages.PutConfigurationRequest request) {
                ControlMessages.PutConfiguration put = request.put();
                return new ControlApiMessages.PutConfigurationRequest(new ControlMessages.PutConfiguration(
                        "sending-" + requestIds.incrementAndGet(),
                        put.base(),
                        put.configuration(),
                        put.author(),
                        put.revision(),
                        put.original()));
            }
        });
    }

    /** A node answers reads with the first configuration that it read, without asking the leader. */
    public static FleetOverrides readsWithoutLeader() {
        Map<String, Object> firstResponses = new ConcurrentHashMap<>();
        return FleetOverrides.none().withRpc((address, rpc) -> new Forwarding(rpc) {
            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                if (!(body instanceof ControlApiMessages.GetConfigurationRequest)) {
                    return forward(to, body, answer, limit);
                }
                return firstResponses.containsKey(address)
                        ? Mono.just(answer.cast(firstResponses.get(address)))
                        : forward(to, body, answer, limit).doOnNext(response -> firstResponses.put(address, response));
            }
        });
    }
}
