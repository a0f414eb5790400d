package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Enumerates schedules of the model in the order of their number of deviations from the default schedule. The engine
 * cannot be copied, so a state is reached by replaying its actions from the start. A state that was already reached at
 * the same or a smaller depth is not explored again.
 */
final class Explorer {
    private final ModelSettings settings;
    private final List<Action> start;
    private final ExploreBounds bounds;
    private final Map<Long, Integer> depthByDigest = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private Deque<Trace> currentLevel = new ArrayDeque<>();
    private Deque<Trace> nextLevel = new ArrayDeque<>();
    private long steps;
    private int deepest;
    private int completedDeviations;
    private final long startNanos = System.nanoTime();

    /** Every schedule begins with the start actions, see {@link StartState}. */
    Explorer(ModelSettings settings, List<Action> start, ExploreBounds bounds) {
        this.settings = settings;
        this.start = start;
        this.bounds = bounds;
    }

    /** Ends at the first violation, at a bound, or when every schedule has been tried. */
    ExploreReport run() {
        runDefaultSchedule(Trace.empty());
        currentLevel = nextLevel;
        nextLevel = new ArrayDeque<>();
        while (shouldContinue() && completedDeviations < bounds.deviations() && !currentLevel.isEmpty()) {
            while (shouldContinue() && !currentLevel.isEmpty()) {
                branch(currentLevel.poll());
            }
            if (currentLevel.isEmpty()) {
                completedDeviations++;
                currentLevel = nextLevel;
                nextLevel = new ArrayDeque<>();
            }
        }
        boolean complete =
                violations.isEmpty() && (completedDeviations >= bounds.deviations() || currentLevel.isEmpty());
        return new ExploreReport(
                depthByDigest.size(),
                steps,
                deepest,
                completedDeviations,
                complete,
                elapsed(),
                List.copyOf(violations));
    }

    private Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private boolean shouldContinue() {
        return violations.isEmpty()
                && depthByDigest.size() < bounds.states()
                && elapsed().compareTo(bounds.time()) < 0;
    }

    /** Tries every action that is possible in a state, except the default one. */
    private void branch(Trace trace) {
        List<Action> actions = enabledActions(trace);
        for (int i = 1; i < actions.size() && shouldContinue(); i++) {
            runDefaultSchedule(trace.append(actions.get(i), true));
        }
    }

    private List<Action> enabledActions(Trace trace) {
        try {
            return EnabledActions.of(replay(trace));
        } catch (InvariantViolationException e) {
            throw new IllegalStateException("an invariant held at first but not on replay", e);
        }
    }

    private ModelCluster replay(Trace trace) throws InvariantViolationException {
        ModelCluster cluster = new ModelCluster(settings);
        for (Action action : start) {
            cluster.apply(action);
        }
        for (Action action : trace.actions()) {
            cluster.apply(action);
        }
        return cluster;
    }

    /** Replays a schedule, then takes default actions until it reaches the depth bound or a state seen before. */
    private void runDefaultSchedule(Trace from) {
        Trace trace = from;
        try {
            ModelCluster cluster = replay(trace);
            while (depthByDigest.size() < bounds.states() && isNew(cluster, trace)) {
                if (trace.depth() >= bounds.depth()) {
                    return;
                }
                nextLevel.add(trace);
                Action action = EnabledActions.of(cluster).get(0);
                trace = trace.append(action, false);
                steps++;
                cluster.apply(action);
            }
        } catch (InvariantViolationException e) {
            violations.add(new Violation(e.invariant(), e.getMessage(), fullTrace(trace)));
        }
    }

    private boolean isNew(ModelCluster cluster, Trace trace) {
        long digest = StateDigest.of(cluster);
        int previousDepth = depthByDigest.getOrDefault(digest, Integer.MAX_VALUE);
        if (previousDepth <= trace.depth()) {
            return false;
        }
        depthByDigest.put(digest, trace.depth());
        deepest = Math.max(deepest, trace.depth());
        return true;
    }

    private List<Action> fullTrace(Trace trace) {
        List<Action> actions = new ArrayList<>(start);
        actions.addAll(trace.actions());
        return actions;
    }
}
