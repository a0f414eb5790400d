package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * What is known of the stores' clocks, so that an ask can say until when it may be taken. (docs/design.md, section 9.7)
 */
final class StoreClocks {
    private static final Duration MAX_AGE = Duration.ofSeconds(5);
    /** Two clocks may drift apart by one part in so many. */
    private static final int DRIFT = 50;

    /** Their clock showed so much at the latest when ours showed that. */
    private record Known(String incarnation, Duration storeTime, Duration localTime) {}

    private final NodeEnvironment environment;
    private final Map<String, Known> readings = new ConcurrentHashMap<>();

    StoreClocks(NodeEnvironment environment) {
        this.environment = environment;
    }

    void forget(String store) {
        readings.remove(store);
    }

    /**
     * A time of our clock, said in the store's: never later than it, whatever the clocks' drift and the way's delay.
     */
    Mono<MessageCommands.RemoteDeadline> deadline(String store, Duration until, Duration limit) {
        return Mono.justOrEmpty(Optional.ofNullable(readings.get(store)))
                .filter(known -> environment
                                .clock()
                                .monotonicTime()
                                .minus(known.localTime())
                                .compareTo(MAX_AGE)
                        < 0)
                .switchIfEmpty(Mono.defer(() -> environment
                        .rpc()
                        .call(store, new MessageCommands.ClockRequest(true), MessageCommands.ClockResponse.class, limit)
                        .map(response -> new Known(
                                response.incarnation(),
                                response.time(),
                                environment.clock().monotonicTime()))
                        .doOnNext(known -> readings.put(store, known))))
                .map(known -> {
                    Duration ahead = until.minus(known.localTime());
                    return new MessageCommands.RemoteDeadline(
                            known.incarnation(), known.storeTime().plus(ahead).minus(ahead.dividedBy(DRIFT)));
                });
    }
}
