package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.controlplane.api.ControlApiMessages;
import reactor.core.publisher.Mono;

/** Control nodes with one rule of 6.11 left out, to show that the checks of the operators' history find its absence. */
public final class NaiveOrders {
    private NaiveOrders() {}

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

    /** Each sending of an order has a name of its own, so that a repeat is judged anew. */
    public static FleetOverrides withoutIdentity() {
        AtomicLong names = new AtomicLong();
        return FleetOverrides.none().withRpc((address, rpc) -> new Forwarding(rpc) {
            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                return forward(
                        to,
                        body instanceof ControlApiMessages.PutConfigurationRequest request ? renamed(request) : body,
                        answer,
                        limit);
            }

            private ControlApiMessages.PutConfigurationRequest renamed(
                    ControlApiMessages.PutConfigurationRequest carried) {
                ControlMessages.PutConfiguration put = carried.put();
                return new ControlApiMessages.PutConfigurationRequest(new ControlMessages.PutConfiguration(
                        "sending-" + names.incrementAndGet(),
                        put.base(),
                        put.configuration(),
                        put.author(),
                        put.revision(),
                        put.original()));
            }
        });
    }

    /** A node answers readings with the first configuration that it saw, asking nobody. */
    public static FleetOverrides readsWithoutLeader() {
        Map<String, Object> seen = new ConcurrentHashMap<>();
        return FleetOverrides.none().withRpc((address, rpc) -> new Forwarding(rpc) {
            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                if (!(body instanceof ControlApiMessages.GetConfigurationRequest)) {
                    return forward(to, body, answer, limit);
                }
                return seen.containsKey(address)
                        ? Mono.just(answer.cast(seen.get(address)))
                        : forward(to, body, answer, limit).doOnNext(a -> seen.put(address, a));
            }
        });
    }
}
