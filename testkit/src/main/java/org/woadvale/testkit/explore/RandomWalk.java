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

/** One long seeded run of the model: far deeper than an enumeration reaches, with clocks that do not run alike. */
final class RandomWalk {
    private static final double CLOCK_SPREAD = 0.02;
    private static final int MOST_TICK_MILLISECONDS = 150;
    private static final int COMMANDS = 40;
    private static final int READ_EACH = 5;
    private final Random random;
    private final ModelCluster cluster;
    private final double deviations;
    private final List<Action> trace = new ArrayList<>();

    RandomWalk(ModelSettings settings, long seed) {
        this.random = new Random(seed);
        Map<String, Double> rates = new HashMap<>();
        for (int i = 0; i <= settings.members(); i++) {
            rates.put(String.valueOf((char) ('a' + i)), 1 + (random.nextDouble() - 0.5) * CLOCK_SPREAD);
        }
        this.deviations = 0.02 + random.nextDouble() * 0.4;
        this.cluster = new ModelCluster(settings.withClockRates(rates).withCommands(COMMANDS));
    }

    /** Empty if every invariant held and the history is linearizable. */
    Optional<Violation> run(int steps) {
        try {
            for (int i = 0; i < steps; i++) {
                Action action = choose();
                trace.add(action);
                cluster.apply(action);
                if (i % READ_EACH == 0) {
                    cluster.clients().readEverywhere();
                }
            }
            checkHistory();
            return Optional.empty();
        } catch (BrokenInvariant e) {
            return Optional.of(new Violation(e.invariant(), e.getMessage(), List.copyOf(trace)));
        }
    }

    private void checkHistory() throws BrokenInvariant {
        RegisterModel register = new RegisterModel(RegisterMachine.INITIAL);
        if (!LinearizabilityChecker.check(register, cluster.clients().history())) {
            throw new BrokenInvariant(
                    Invariant.LINEARIZABLE, cluster.clients().history().toString());
        }
    }

    private Action choose() {
        List<Action> menu = ActionMenu.of(cluster);
        Action action = random.nextDouble() < deviations ? deviation(menu) : menu.get(0);
        return action.kind() == ActionKind.TICK ? Action.tick(1 + random.nextInt(MOST_TICK_MILLISECONDS)) : action;
    }

    /** Kinds are equally likely, however many actions of a kind there are. */
    private Action deviation(List<Action> menu) {
        Map<ActionKind, List<Action>> kinds = new EnumMap<>(ActionKind.class);
        menu.forEach(action ->
                kinds.computeIfAbsent(action.kind(), kind -> new ArrayList<>()).add(action));
        List<ActionKind> present = new ArrayList<>(kinds.keySet());
        List<Action> choices = kinds.get(present.get(random.nextInt(present.size())));
        return choices.get(random.nextInt(choices.size()));
    }

    ModelCluster cluster() {
        return cluster;
    }
}
