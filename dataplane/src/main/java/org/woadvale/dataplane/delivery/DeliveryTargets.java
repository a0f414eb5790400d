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
 * The health of back ends, by the results of deliveries: slow ones get less work, failing ones are probed with one
 * delivery at a time. (docs/design.md, section 9.4)
 */
public final class DeliveryTargets {
    private static final int MAX_IN_FLIGHT = 16;
    private static final int FAILURE_THRESHOLD = 3;
    /**
     * Cost factor of a back end in another zone: work goes there only where that outweighs the price of traffic between
     * zones.
     */
    private static final double OTHER_ZONE_COST = 2;

    /** Weight of the newest response time in the moving average. */
    private static final double NEWEST_WEIGHT = 0.2;

    private static final int MAX_DOUBLINGS = 6;
    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(1);

    /** A back end that may receive work. */
    public record Target(String key, String id, String address, boolean sameZone) {}

    private static final class TargetHealth {
        int inFlight;
        int failures;
        double averageMs;
        Duration notBefore = Duration.ZERO;
    }

    private final NodeEnvironment environment;
    private final LockedShard shard = new LockedShard();
    private final Map<String, TargetHealth> healthByTarget = new HashMap<>();

    /** Creates the health records, without any target. */
    public DeliveryTargets(NodeEnvironment environment) {
        this.environment = environment;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    /** Selects the least loaded of the targets that may be tried now, and counts a delivery in flight to it. */
    public Optional<Target> tryAcquire(List<Target> candidates, ToIntFunction<Target> maxInFlight) {
        return shard.get(() -> {
            Optional<Target> selected = candidates.stream()
                    .filter(target -> isAvailable(healthOf(target), maxInFlight.applyAsInt(target)))
                    .min(Comparator.comparingDouble(target -> (healthOf(target).inFlight + 1)
                            * (1 + healthOf(target).averageMs)
                            * (target.sameZone() ? 1 : OTHER_ZONE_COST)));
            selected.ifPresent(target -> healthOf(target).inFlight++);
            return selected;
        });
    }

    private TargetHealth healthOf(Target target) {
        return healthByTarget.computeIfAbsent(target.key(), k -> new TargetHealth());
    }

    private boolean isAvailable(TargetHealth health, int maxInFlight) {
        boolean failing = health.failures >= FAILURE_THRESHOLD;
        return health.inFlight < (failing ? 1 : maxInFlight == 0 ? MAX_IN_FLIGHT : maxInFlight)
                && now().compareTo(health.notBefore) >= 0;
    }

    /** Records the end of a delivery to the target. */
    public void onCompleted(Target target, boolean answered, Duration elapsed) {
        shard.run(() -> {
            TargetHealth health = healthOf(target);
            health.inFlight = Math.max(0, health.inFlight - 1);
            if (answered) {
                health.failures = 0;
                health.notBefore = Duration.ZERO;
                health.averageMs = health.averageMs * (1 - NEWEST_WEIGHT) + elapsed.toMillis() * NEWEST_WEIGHT;
            } else {
                health.failures++;
                if (health.failures >= FAILURE_THRESHOLD) {
                    Duration pause = FIRST_PAUSE.multipliedBy(
                            1L << Math.min(MAX_DOUBLINGS, health.failures - FAILURE_THRESHOLD));
                    health.notBefore = now().plus(pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause);
                }
            }
        });
    }

    /** Releases an acquired target to which nothing was sent. */
    public void release(Target target) {
        shard.run(() -> healthOf(target).inFlight = Math.max(0, healthOf(target).inFlight - 1));
    }
}
