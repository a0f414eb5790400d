package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * Readings of the clocks of stores, by which a request can carry a deadline on the clock of the store that receives it.
 * (docs/design.md, section 9.7)
 */
final class StoreClocks {
    private static final Duration MAX_AGE = Duration.ofSeconds(5);
    /** Two clocks are assumed to drift apart by at most one part in this number. */
    private static final int MAX_DRIFT_DIVISOR = 50;

    /** The clock of the store showed {@code storeTime} no later than the local clock showed {@code localTime}. */
    private record ClockReading(String incarnation, Duration storeTime, Duration localTime) {}

    private final NodeEnvironment environment;
    private final Map<String, ClockReading> readings = new ConcurrentHashMap<>();

    StoreClocks(NodeEnvironment environment) {
        this.environment = environment;
    }

    void forget(String store) {
        readings.remove(store);
    }

    /**
     * Converts a time of the local clock to the clock of the store: never later than that time, whatever the drift of
     * the clocks and the delay of the network.
     */
    Mono<MessageCommands.RemoteDeadline> deadline(String store, Duration until, Duration limit) {
        return Mono.justOrEmpty(Optional.ofNullable(readings.get(store)))
                .filter(reading -> environment
                                .clock()
                                .monotonicTime()
                                .minus(reading.localTime())
                                .compareTo(MAX_AGE)
                        < 0)
                .switchIfEmpty(Mono.defer(() -> environment
                        .rpc()
                        .call(store, new MessageCommands.ClockRequest(true), MessageCommands.ClockResponse.class, limit)
                        .map(response -> new ClockReading(
                                response.incarnation(),
                                response.time(),
                                environment.clock().monotonicTime()))
                        .doOnNext(reading -> readings.put(store, reading))))
                .map(reading -> {
                    Duration ahead = until.minus(reading.localTime());
                    return new MessageCommands.RemoteDeadline(
                            reading.incarnation(),
                            reading.storeTime().plus(ahead).minus(ahead.dividedBy(MAX_DRIFT_DIVISOR)));
                });
    }
}
