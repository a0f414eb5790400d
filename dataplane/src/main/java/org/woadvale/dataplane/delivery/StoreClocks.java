package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** What is known of the stores' clocks, so that an ask can say until when it may be taken. design 9.7 */
final class StoreClocks {
    private static final Duration MAX_AGE = Duration.ofSeconds(5);
    /** Two clocks may drift apart by one part in so many. */
    private static final int DRIFT = 50;

    /** Their clock showed so much at the latest when ours showed that. */
    private record Known(String incarnation, Duration storeTime, Duration localTime) {}

    private final NodeEnvironment env;
    private final Map<String, Known> readings = new ConcurrentHashMap<>();

    StoreClocks(NodeEnvironment env) {
        this.env = env;
    }

    void forget(String store) {
        readings.remove(store);
    }

    /** A time of our clock, said in the store's: never later than it, whatever the clocks' drift and the way's delay. */
    Mono<MessageCommands.RemoteDeadline> deadline(String store, Duration until, Duration limit) {
        return Mono.justOrEmpty(Optional.ofNullable(readings.get(store)))
                .filter(k -> env.clock().monotonicTime().minus(k.localTime()).compareTo(MAX_AGE) < 0)
                .switchIfEmpty(Mono.defer(() -> env.rpc()
                        .call(store, new MessageCommands.ClockRequest(true), MessageCommands.ClockResponse.class, limit)
                        .map(c ->
                                new Known(c.incarnation(), c.time(), env.clock().monotonicTime()))
                        .doOnNext(k -> readings.put(store, k))))
                .map(k -> {
                    Duration ahead = until.minus(k.localTime());
                    return new MessageCommands.RemoteDeadline(
                            k.incarnation(), k.storeTime().plus(ahead).minus(ahead.dividedBy(DRIFT)));
                });
    }
}
