package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.woadvale.common.replication.Env;
import org.woadvale.dataplane.queue.Commands;
import reactor.core.publisher.Mono;

/** What is known of the stores' clocks, so that an ask can say until when it may be taken. design 9.7 */
final class Clocks {
    private static final Duration OLD = Duration.ofSeconds(5);
    /** Two clocks may drift apart by one part in so many. */
    private static final int DRIFT = 50;

    /** Their clock showed so much at the latest when ours showed that. */
    private record Known(String life, Duration theirs, Duration ours) {}

    private final Env env;
    private final Map<String, Known> stores = new ConcurrentHashMap<>();

    Clocks(Env env) {
        this.env = env;
    }

    void forget(String store) {
        stores.remove(store);
    }

    /** A time of our clock, said in the store's: never later than it, whatever the clocks' drift and the way's delay. */
    Mono<Commands.Until> until(String store, Duration until, Duration limit) {
        return Mono.justOrEmpty(Optional.ofNullable(stores.get(store)))
                .filter(k -> env.times().mono().minus(k.ours()).compareTo(OLD) < 0)
                .switchIfEmpty(Mono.defer(() -> env.rpc()
                        .ask(store, new Commands.ClockAsk(true), Commands.Clock.class, limit)
                        .map(c -> new Known(c.life(), c.at(), env.times().mono()))
                        .doOnNext(k -> stores.put(store, k))))
                .map(k -> {
                    Duration ahead = until.minus(k.ours());
                    return new Commands.Until(k.life(), k.theirs().plus(ahead).minus(ahead.dividedBy(DRIFT)));
                });
    }
}
