package org.woadvale.testkit.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;

/**
 * Measures resource usage against size, fits and plots a line for each figure, and compares a forecast with one larger
 * run. (docs/CAPACITY.md)
 */
public final class CapacityCommand {
    private final PrintStream out;
    private final PrintStream err;

    public CapacityCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Returns the exit code: 0 if every run succeeded, 1 if a run failed, 2 for an invalid command line. */
    public int run(String[] args) {
        try {
            measure(MeasurementPlan.parse(args, Heap.maxRunBytes()));
            return 0;
        } catch (ServiceException failure) {
            err.println("capacity: " + failure.getMessage());
            return failure.kind() == ErrorKind.BAD_REQUEST ? 2 : 1;
        }
    }

    private void measure(MeasurementPlan plan) throws ServiceException {
        System.setProperty("java.awt.headless", "true");
        try {
            Files.createDirectories(plan.outputFolder());
        } catch (IOException e) {
            throw new UnavailableException("Cannot create the folder " + plan.outputFolder() + ".");
        }
        for (Map.Entry<Mechanism, List<Integer>> entry : plan.sizesByMechanism().entrySet()) {
            String name = plan.nameOf(entry.getKey());
            Map<String, Map<Integer, Double>> figures = sweep(name, entry.getKey(), entry.getValue());
            printFits(figures);
            Plot.write(plan.outputFolder(), name, entry.getKey().sizeLabel(), figures);
            if (name.equals(MeasurementPlan.NODES) && plan.largestSize() > 0) {
                printForecast(entry.getKey(), plan.largestSize(), figures);
            }
        }
    }

    /** Runs the middle size once without recording it, to warm up the JIT compiler before the first measurement. */
    private Map<String, Map<Integer, Double>> sweep(String name, Mechanism mechanism, List<Integer> sizes)
            throws ServiceException {
        mechanism.measure(sizes.get(sizes.size() / 2));
        Map<String, Map<Integer, Double>> figures = new LinkedHashMap<>();
        for (int size : sizes) {
            Map<String, Double> run = measureTimed(name, mechanism, size);
            run.forEach(
                    (f, y) -> figures.computeIfAbsent(f, k -> new TreeMap<>()).put(size, y));
        }
        out.println();
        out.println("| " + mechanism.sizeLabel() + " | "
                + String.join(" | ", sizes.stream().map(String::valueOf).toList())
                + " | slope | of the slope, standard error | at none | R² | farthest point |");
        out.println("|---" + "|---".repeat(sizes.size() + 5) + "|");
        return figures;
    }

    private Map<String, Double> measureTimed(String name, Mechanism mechanism, int size) throws ServiceException {
        long from = System.nanoTime();
        Map<String, Double> run = mechanism.measure(size);
        err.println("capacity: " + name + " " + size + " took "
                + Duration.ofNanos(System.nanoTime() - from).toMillis() + " ms.");
        return run;
    }

    private void printFits(Map<String, Map<Integer, Double>> figures) {
        figures.forEach((f, points) -> {
            LinearFit fit = LinearFit.of(points);
            out.println("| " + f + " | "
                    + String.join(
                            " | ",
                            points.values().stream()
                                    .map(CapacityCommand::formatFigure)
                                    .toList())
                    + " | " + formatFigure(fit.slope()) + " | " + formatFigure(fit.slopeStandardError()) + " | "
                    + formatFigure(fit.intercept()) + " | "
                    + String.format(Locale.ROOT, "%.4f | %.0f %%", fit.r2(), 100 * fit.maxRelativeResidual()) + " |");
        });
        out.println();
    }

    private void printForecast(Mechanism mechanism, int size, Map<String, Map<Integer, Double>> figures)
            throws ServiceException {
        Map<String, Double> run = measureTimed(MeasurementPlan.NODES, mechanism, size);
        out.println("| " + size + " " + mechanism.sizeLabel() + " | forecast | run | run over forecast |");
        out.println("|---|---|---|---|");
        run.forEach((f, y) -> {
            double predicted = LinearFit.of(figures.get(f)).predict(size);
            out.println("| " + f + " | " + formatFigure(predicted) + " | " + formatFigure(y) + " | "
                    + String.format(Locale.ROOT, "%.2f", y / predicted) + " |");
        });
        out.println();
    }

    /** Rounds to four significant digits, or to an integer from 1,000 on. */
    private static String formatFigure(double d) {
        return d == 0
                ? "0"
                : Math.abs(d) >= 1000
                        ? String.format(Locale.ROOT, "%.0f", d)
                        : new BigDecimal(d)
                                .round(new MathContext(4))
                                .stripTrailingZeros()
                                .toPlainString();
    }
}
