package org.woadvale.dataplane.delivery;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.LockedShard;

/** Liveness of back ends by their results: slow ones get less, failing ones are probed. design 9.4 */
public final class DeliveryTargets {
    private static final int MAX_IN_FLIGHT = 16;
    private static final int FAILING = 3;
    /** Work goes to another zone only where that pays: bytes between zones are dear. */
    private static final double FAR = 2;

    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    /** One back end that may get work. */
    public record Target(String key, String id, String address, boolean near) {}

    private static final class Liveness {
        int inFlight;
        int failures;
        double slowMs;
        Duration notBefore = Duration.ZERO;
    }

    private final NodeEnvironment env;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Liveness> all = new HashMap<>();

    public DeliveryTargets(NodeEnvironment env) {
        this.env = env;
    }

    private Duration now() {
        return env.clock().monotonicTime();
    }

    /** The least busy of those that may be tried now; its place in flight is taken. */
    public Optional<Target> draw(List<Target> from, ToIntFunction<Target> most) {
        return shard.get(() -> {
            Optional<Target> t = from.stream()
                    .filter(x -> open(of(x), most.applyAsInt(x)))
                    .min(Comparator.comparingDouble(
                            x -> (of(x).inFlight + 1) * (1 + of(x).slowMs) * (x.near() ? 1 : FAR)));
            t.ifPresent(x -> of(x).inFlight++);
            return t;
        });
    }

    private Liveness of(Target t) {
        return all.computeIfAbsent(t.key(), k -> new Liveness());
    }

    private boolean open(Liveness l, int most) {
        boolean failing = l.failures >= FAILING;
        return l.inFlight < (failing ? 1 : most == 0 ? MAX_IN_FLIGHT : most) && now().compareTo(l.notBefore) >= 0;
    }

    public void ended(Target t, boolean answered, Duration took) {
        shard.run(() -> {
            Liveness l = of(t);
            l.inFlight = Math.max(0, l.inFlight - 1);
            if (answered) {
                l.failures = 0;
                l.notBefore = Duration.ZERO;
                l.slowMs = l.slowMs * 0.8 + took.toMillis() * 0.2;
            } else {
                l.failures++;
                if (l.failures >= FAILING) {
                    Duration pause = FIRST_PAUSE.multipliedBy(1L << Math.min(6, l.failures - FAILING));
                    l.notBefore = now().plus(pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause);
                }
            }
        });
    }

    /** Drawn, but nothing was sent. */
    public void unused(Target t) {
        shard.run(() -> of(t).inFlight = Math.max(0, of(t).inFlight - 1));
    }
}
