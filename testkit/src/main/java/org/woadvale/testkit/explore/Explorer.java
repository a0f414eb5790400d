package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Enumerates schedules of the model, those with fewer deviations from the calm course first. The engine cannot be
 * copied, so a state is reached by replaying its choices from the start. A state that was seen at the same depth or
 * earlier is not followed again.
 */
final class Explorer {
    private final ModelSettings settings;
    private final List<Action> start;
    private final ExploreBounds bounds;
    private final Map<Long, Integer> depths = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private Deque<Trace> present = new ArrayDeque<>();
    private Deque<Trace> next = new ArrayDeque<>();
    private long steps;
    private int deepest;
    private int level;
    private final long began = System.nanoTime();

    /** Schedules begin after the start actions, see {@link StartState}. */
    Explorer(ModelSettings settings, List<Action> start, ExploreBounds bounds) {
        this.settings = settings;
        this.start = start;
        this.bounds = bounds;
    }

    /** Ends at the first violation, at a bound, or when all is tried. */
    ExploreReport run() {
        follow(Trace.empty());
        present = next;
        next = new ArrayDeque<>();
        while (goesOn() && level < bounds.deviations() && !present.isEmpty()) {
            while (goesOn() && !present.isEmpty()) {
                branch(present.poll());
            }
            if (present.isEmpty()) {
                level++;
                present = next;
                next = new ArrayDeque<>();
            }
        }
        boolean complete = violations.isEmpty() && (level >= bounds.deviations() || present.isEmpty());
        return new ExploreReport(depths.size(), steps, deepest, level, complete, took(), List.copyOf(violations));
    }

    private Duration took() {
        return Duration.ofNanos(System.nanoTime() - began);
    }

    private boolean goesOn() {
        return violations.isEmpty() && depths.size() < bounds.states() && took().compareTo(bounds.time()) < 0;
    }

    /** Tries everything that may happen in a state besides the default action. */
    private void branch(Trace trace) {
        List<Action> menu = alternatives(trace);
        for (int i = 1; i < menu.size() && goesOn(); i++) {
            follow(trace.then(menu.get(i), true));
        }
    }

    private List<Action> alternatives(Trace trace) {
        try {
            return ActionMenu.of(replay(trace));
        } catch (BrokenInvariant e) {
            throw new IllegalStateException("a state that was sound is not when it is replayed", e);
        }
    }

    private ModelCluster replay(Trace trace) throws BrokenInvariant {
        ModelCluster cluster = new ModelCluster(settings);
        for (Action action : start) {
            cluster.apply(action);
        }
        for (Action action : trace.actions()) {
            cluster.apply(action);
        }
        return cluster;
    }

    /** Replays a schedule and goes on calmly until the depth is reached or a state is known. */
    private void follow(Trace from) {
        Trace trace = from;
        try {
            ModelCluster cluster = replay(trace);
            while (depths.size() < bounds.states() && isNew(cluster, trace)) {
                if (trace.depth() >= bounds.depth()) {
                    return;
                }
                next.add(trace);
                Action action = ActionMenu.of(cluster).get(0);
                trace = trace.then(action, false);
                steps++;
                cluster.apply(action);
            }
        } catch (BrokenInvariant e) {
            violations.add(new Violation(e.invariant(), e.getMessage(), wholeTrace(trace)));
        }
    }

    private boolean isNew(ModelCluster cluster, Trace trace) {
        long digest = StateDigest.of(cluster);
        int known = depths.getOrDefault(digest, Integer.MAX_VALUE);
        if (known <= trace.depth()) {
            return false;
        }
        depths.put(digest, trace.depth());
        deepest = Math.max(deepest, trace.depth());
        return true;
    }

    private List<Action> wholeTrace(Trace trace) {
        List<Action> actions = new ArrayList<>(start);
        actions.addAll(trace.actions());
        return actions;
    }
}
