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

/** Measures slopes, draws them, and holds a forecast against the largest run: docs/CAPACITY.md. */
public final class CapacityCommand {
    private final PrintStream out;
    private final PrintStream err;

    public CapacityCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** The exit code: 0 when all was measured, 2 for a bad request, 1 for a run that failed. */
    public int run(String[] args) {
        try {
            measure(Wanted.of(args, Heap.allowed()));
            return 0;
        } catch (ServiceException failure) {
            err.println("capacity: " + failure.getMessage());
            return failure.kind() == ErrorKind.BAD_REQUEST ? 2 : 1;
        }
    }

    private void measure(Wanted wanted) throws ServiceException {
        System.setProperty("java.awt.headless", "true");
        try {
            Files.createDirectories(wanted.out());
        } catch (IOException e) {
            throw new UnavailableException("Cannot make the folder " + wanted.out() + ".");
        }
        for (Map.Entry<Mechanism, List<Integer>> entry : wanted.runs().entrySet()) {
            String name = wanted.name(entry.getKey());
            Map<String, Map<Integer, Double>> figures = sweep(name, entry.getKey(), entry.getValue());
            lines(figures);
            Plot.write(wanted.out(), name, entry.getKey().counts(), figures);
            if (name.equals(Wanted.NODES) && wanted.largest() > 0) {
                forecast(entry.getKey(), wanted.largest(), figures);
            }
        }
    }

    /** The middle size is run once unrecorded, so that the first figures are not those of cold code. */
    private Map<String, Map<Integer, Double>> sweep(String name, Mechanism mechanism, List<Integer> sizes)
            throws ServiceException {
        mechanism.measure(sizes.get(sizes.size() / 2));
        Map<String, Map<Integer, Double>> figures = new LinkedHashMap<>();
        for (int size : sizes) {
            Map<String, Double> got = timed(name, mechanism, size);
            got.forEach(
                    (f, y) -> figures.computeIfAbsent(f, k -> new TreeMap<>()).put(size, y));
        }
        out.println();
        out.println("| " + mechanism.counts() + " | "
                + String.join(" | ", sizes.stream().map(String::valueOf).toList())
                + " | slope | of the slope, standard error | at none | R² | farthest point |");
        out.println("|---" + "|---".repeat(sizes.size() + 5) + "|");
        return figures;
    }

    private Map<String, Double> timed(String name, Mechanism mechanism, int size) throws ServiceException {
        long from = System.nanoTime();
        Map<String, Double> got = mechanism.measure(size);
        err.println("capacity: " + name + " " + size + " took "
                + Duration.ofNanos(System.nanoTime() - from).toMillis() + " ms.");
        return got;
    }

    private void lines(Map<String, Map<Integer, Double>> figures) {
        figures.forEach((f, points) -> {
            Fit fit = Fit.of(points);
            out.println("| " + f + " | "
                    + String.join(
                            " | ",
                            points.values().stream().map(CapacityCommand::shown).toList())
                    + " | " + shown(fit.slope()) + " | " + shown(fit.error()) + " | " + shown(fit.intercept()) + " | "
                    + String.format(Locale.ROOT, "%.4f | %.0f %%", fit.r2(), 100 * fit.spread()) + " |");
        });
        out.println();
    }

    private void forecast(Mechanism mechanism, int size, Map<String, Map<Integer, Double>> figures)
            throws ServiceException {
        Map<String, Double> run = timed(Wanted.NODES, mechanism, size);
        out.println("| " + size + " " + mechanism.counts() + " | forecast | run | run over forecast |");
        out.println("|---|---|---|---|");
        run.forEach((f, y) -> {
            double said = Fit.of(figures.get(f)).at(size);
            out.println("| " + f + " | " + shown(said) + " | " + shown(y) + " | "
                    + String.format(Locale.ROOT, "%.2f", y / said) + " |");
        });
        out.println();
    }

    /** Four figures. */
    private static String shown(double d) {
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
