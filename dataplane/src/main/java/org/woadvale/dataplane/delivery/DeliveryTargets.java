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

/**
 * Liveness of back ends by their results: slow ones get less, failing ones are probed. (docs/design.md, section 9.4)
 */
public final class DeliveryTargets {
    private static final int MAX_IN_FLIGHT = 16;
    private static final int FAILING = 3;
    /** Work goes to another zone only where that pays: bytes between zones are dear. */
    private static final double FAR = 2;

    /** Of the newest time in the average. */
    private static final double NEWEST_WEIGHT = 0.2;

    private static final int MAX_DOUBLINGS = 6;
    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    /** One back end that may get work. */
    public record Target(String key, String id, String address, boolean sameZone) {}

    private static final class Liveness {
        int inFlight;
        int failures;
        double slowMs;
        Duration notBefore = Duration.ZERO;
    }

    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Liveness> all = new HashMap<>();

    /** Without any target. */
    public DeliveryTargets(NodeEnvironment environment) {
        this.environment = environment;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /** The least busy of those that may be tried now; its place in flight is taken. */
    public Optional<Target> tryAcquire(List<Target> from, ToIntFunction<Target> most) {
        return shard.get(() -> {
            Optional<Target> optional = from.stream()
                    .filter(target -> open(of(target), most.applyAsInt(target)))
                    .min(Comparator.comparingDouble(target ->
                            (of(target).inFlight + 1) * (1 + of(target).slowMs) * (target.sameZone() ? 1 : FAR)));
            optional.ifPresent(target -> of(target).inFlight++);
            return optional;
        });
    }

    private Liveness of(Target target) {
        return all.computeIfAbsent(target.key(), k -> new Liveness());
    }

    private boolean open(Liveness liveness, int most) {
        boolean failing = liveness.failures >= FAILING;
        return liveness.inFlight < (failing ? 1 : most == 0 ? MAX_IN_FLIGHT : most)
                && now().compareTo(liveness.notBefore) >= 0;
    }

    /** A delivery to the target is over. */
    public void onCompleted(Target target, boolean answered, Duration took) {
        shard.run(() -> {
            Liveness liveness = of(target);
            liveness.inFlight = Math.max(0, liveness.inFlight - 1);
            if (answered) {
                liveness.failures = 0;
                liveness.notBefore = Duration.ZERO;
                liveness.slowMs = liveness.slowMs * (1 - NEWEST_WEIGHT) + took.toMillis() * NEWEST_WEIGHT;
            } else {
                liveness.failures++;
                if (liveness.failures >= FAILING) {
                    Duration pause =
                            FIRST_PAUSE.multipliedBy(1L << Math.min(MAX_DOUBLINGS, liveness.failures - FAILING));
                    liveness.notBefore = now().plus(pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause);
                }
            }
        });
    }

    /** Drawn, but nothing was sent. */
    public void release(Target target) {
        shard.run(() -> of(target).inFlight = Math.max(0, of(target).inFlight - 1));
    }
}
