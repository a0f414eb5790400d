package org.woadvale.testkit.explore;

import java.io.PrintStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.woadvale.common.replication.Replica;

/** Enumerates schedules for a given time, then runs random walks for the same time, and prints the results. */
public final class ExploreCommand {
    private static final int WALK_STEPS = 600;
    private final PrintStream out;
    private int nodes = 3;
    private int depth = 60;
    private int deviations = Integer.MAX_VALUE;
    private long seconds = 30;
    private long seed = 1;
    private StartState start = StartState.LED;
    private Mutant mutant = Mutant.NONE;

    public ExploreCommand(PrintStream out) {
        this.out = out;
    }

    /** Returns the exit code: 0 if every invariant held, 1 on a violation, 2 on invalid arguments. */
    public int run(String... arguments) {
        try {
            parse(arguments);
        } catch (IllegalArgumentException e) {
            out.println(e.getMessage());
            return 2;
        }
        Configurator.setAllLevels(Replica.class.getPackageName(), Level.OFF);
        boolean passed = enumerate();
        return walk() && passed ? 0 : 1;
    }

    private void parse(String... arguments) {
        Map<String, String> options = new HashMap<>();
        for (int i = 1; i < arguments.length; i += 2) {
            options.put(arguments[i - 1], arguments[i]);
        }
        for (Map.Entry<String, String> option : options.entrySet()) {
            String value = option.getValue();
            switch (option.getKey()) {
                case "--nodes" -> nodes = Integer.parseInt(value);
                case "--depth" -> depth = Integer.parseInt(value);
                case "--deviations" -> deviations = Integer.parseInt(value);
                case "--seconds" -> seconds = Long.parseLong(value);
                case "--seed" -> seed = Long.parseLong(value);
                case "--start" -> start = StartState.valueOf(value.toUpperCase(Locale.ROOT));
                case "--mutant" -> mutant = Mutants.named(value);
                default -> throw new IllegalArgumentException("unknown option: " + option.getKey());
            }
        }
    }

    private boolean enumerate() {
        ModelSettings settings = ModelSettings.of(nodes).withMutant(mutant);
        ExploreBounds bounds = new ExploreBounds(depth, deviations, Long.MAX_VALUE, Duration.ofSeconds(seconds));
        ExploreReport report = new Explorer(settings, start.actions(settings), bounds).run();
        out.printf(
                "enumeration: %d nodes from %s, depth %d, %d states, %d a second, %d steps, deepest %d, "
                        + "all schedules of up to %d deviations tried, %s, %d ms%n",
                nodes,
                start,
                depth,
                report.states(),
                report.statesPerSecond(),
                report.steps(),
                report.deepest(),
                report.deviations(),
                report.complete() ? "complete" : "not complete",
                report.elapsed().toMillis());
        report.violations().forEach(violation -> out.println("VIOLATION " + violation));
        return report.violations().isEmpty();
    }

    private boolean walk() {
        long startNanos = System.nanoTime();
        long walks = 0;
        Optional<Violation> violation = Optional.empty();
        while (violation.isEmpty()
                && System.nanoTime() - startNanos < Duration.ofSeconds(seconds).toNanos()) {
            violation = new RandomWalk(ModelSettings.of(nodes).withMutant(mutant), seed + walks).run(WALK_STEPS);
            walks++;
        }
        long elapsedMillis =
                Math.max(1, Duration.ofNanos(System.nanoTime() - startNanos).toMillis());
        out.printf(
                "random walks: seeds %d to %d, %d states, %d a second%n",
                seed, seed + walks - 1, walks * WALK_STEPS, walks * WALK_STEPS * 1000 / elapsedMillis);
        violation.ifPresent(found -> out.println("VIOLATION " + found));
        return violation.isEmpty();
    }
}
