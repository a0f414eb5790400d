package org.woadvale.trials.squall;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import org.woadvale.foundation.beam.Beam;
import org.woadvale.pilot.berth.Commands;
import org.woadvale.pilot.launch.Post;

import reactor.core.publisher.Mono;

/** Stand-ins that leave out one mechanism each; every never-line has a scenario that breaks with one. design 12.3 */
final class Naive {
    private Naive() { }

    /** A beam that changes what is asked. */
    static Beam asking(Beam b, Function<Object, Object> change) {
        return new Beam() {
            @Override
            public String self() {
                return b.self();
            }

            @Override
            public <T> Mono<T> ask(String to, Object body, Class<T> answer, Duration limit) {
                return b.ask(to, change.apply(body), answer, limit);
            }
        };
    }

    /** Everything is looked at once; what then waits for its stream is sent whatever has become of it. */
    static Seams lookFirstSendLater() {
        return Seams.none().withPost((a, p) -> c -> Mono.defer(() -> {
            boolean go = c.still().getAsBoolean();
            return p.send(new Post.Call(c.method(), c.url(), c.body(), c.limit(), () -> go));
        }));
    }

    /** Any 5xx is taken for "later". */
    static Seams anyErrorIsLater() {
        return Seams.none().withPost((a, p) -> c -> p.send(c)
            .map(r -> r.status() >= 500 ? new Post.Reply(503, r.body()) : r));
    }

    /** Hand-ins without a time by which they must have come; the store's life is learned once and for all. */
    static Seams timelessHandIns() {
        return Seams.none().withBeam((a, b) -> {
            Map<String, Object> clocks = new HashMap<>();
            Beam stretched = asking(b, o -> o instanceof Commands.AcceptAsk x
                ? new Commands.AcceptAsk(x.part(), x.accept(), new Commands.Until(x.until().life(), Duration.ofDays(1))) : o);
            return remembering(stretched, Commands.ClockAsk.class, clocks);
        });
    }

    /** A beam that gives the last answer of a neighbour again instead of asking. */
    private static Beam remembering(Beam b, Class<?> ask, Map<String, Object> known) {
        return new Beam() {
            @Override
            public String self() {
                return b.self();
            }

            @Override
            public <T> Mono<T> ask(String to, Object body, Class<T> answer, Duration limit) {
                if (ask.isInstance(body) && known.containsKey(to)) {
                    return Mono.just(answer.cast(known.get(to)));
                }
                return b.ask(to, body, answer, limit).doOnNext(x -> {
                    if (ask.isInstance(body)) {
                        known.put(to, x);
                    }
                });
            }
        };
    }
}
