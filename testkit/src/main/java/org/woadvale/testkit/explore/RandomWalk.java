package org.woadvale.testkit.explore;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.woadvale.testkit.explore.history.LinearizabilityChecker;
import org.woadvale.testkit.explore.history.RegisterModel;

/** One long seeded run of the model, far deeper than an enumeration can go, with clocks that run at different rates. */
final class RandomWalk {
    private static final double CLOCK_RATE_SPREAD = 0.02;
    private static final int MAX_TICK_MILLISECONDS = 150;
    private static final int COMMANDS = 40;
    private static final int STEPS_BETWEEN_READS = 5;
    private final Random random;
    private final ModelCluster cluster;
    private final double deviationProbability;
    private final List<Action> trace = new ArrayList<>();

    RandomWalk(ModelSettings settings, long seed) {
        this.random = new Random(seed);
        Map<String, Double> rates = new HashMap<>();
        for (int i = 0; i <= settings.members(); i++) {
            rates.put(String.valueOf((char) ('a' + i)), 1 + (random.nextDouble() - 0.5) * CLOCK_RATE_SPREAD);
        }
        this.deviationProbability = 0.02 + random.nextDouble() * 0.4;
        this.cluster = new ModelCluster(settings.withClockRates(rates).withCommands(COMMANDS));
    }

    /** Returns empty if every invariant held and the history is linearizable. */
    Optional<Violation> run(int steps) {
        try {
            for (int i = 0; i < steps; i++) {
                Action action = choose();
                trace.add(action);
                cluster.apply(action);
                if (i % STEPS_BETWEEN_READS == 0) {
                    cluster.clients().readEverywhere();
                }
            }
            checkHistory();
            return Optional.empty();
        } catch (InvariantViolationException e) {
            return Optional.of(new Violation(e.invariant(), e.getMessage(), List.copyOf(trace)));
        }
    }

    private void checkHistory() throws InvariantViolationException {
        RegisterModel register = new RegisterModel(RegisterMachine.INITIAL);
        if (!LinearizabilityChecker.check(register, cluster.clients().history())) {
            throw new InvariantViolationException(
                    Invariant.LINEARIZABLE, cluster.clients().history().toString());
        }
    }

    private Action choose() {
        List<Action> enabled = EnabledActions.of(cluster);
        Action action = random.nextDouble() < deviationProbability ? deviation(enabled) : enabled.get(0);
        return action.kind() == ActionKind.TICK ? Action.tick(1 + random.nextInt(MAX_TICK_MILLISECONDS)) : action;
    }

    /** Every kind of action is equally likely, regardless of the number of actions of that kind. */
    private Action deviation(List<Action> enabled) {
        Map<ActionKind, List<Action>> actionsByKind = new EnumMap<>(ActionKind.class);
        enabled.forEach(action -> actionsByKind
                .computeIfAbsent(action.kind(), kind -> new ArrayList<>())
                .add(action));
        List<ActionKind> kinds = new ArrayList<>(actionsByKind.keySet());
        List<Action> choices = actionsByKind.get(kinds.get(random.nextInt(kinds.size())));
        return choices.get(random.nextInt(choices.size()));
    }

    ModelCluster cluster() {
        return cluster;
    }
}
