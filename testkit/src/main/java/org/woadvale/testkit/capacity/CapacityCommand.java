package org.woadvale.testkit.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

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
        } catch (ServiceException e) {
            err.println("capacity: " + e.getMessage());
            return e.kind() == ErrorKind.BAD_REQUEST ? 2 : 1;
        }
    }

    private void measure(Wanted w) throws ServiceException {
        System.setProperty("java.awt.headless", "true");
        try {
            Files.createDirectories(w.out());
        } catch (IOException e) {
            throw new ServiceException(ErrorKind.UNAVAILABLE, "Cannot make the folder " + w.out() + ".");
        }
        for (Map.Entry<Mechanism, List<Integer>> e : w.runs().entrySet()) {
            String name = w.name(e.getKey());
            Map<String, Map<Integer, Double>> figures = sweep(name, e.getKey(), e.getValue());
            lines(figures);
            Plot.write(w.out(), name, e.getKey().counts(), figures);
            if (name.equals(Wanted.NODES) && w.largest() > 0) {
                forecast(e.getKey(), w.largest(), figures);
            }
        }
    }

    /** The middle size is run once unrecorded, so that the first figures are not those of cold code. */
    private Map<String, Map<Integer, Double>> sweep(String name, Mechanism m, List<Integer> sizes)
            throws ServiceException {
        m.measure(sizes.get(sizes.size() / 2));
        Map<String, Map<Integer, Double>> figures = new LinkedHashMap<>();
        for (int size : sizes) {
            Map<String, Double> got = timed(name, m, size);
            got.forEach(
                    (f, y) -> figures.computeIfAbsent(f, k -> new TreeMap<>()).put(size, y));
        }
        out.println();
        out.println("| " + m.counts() + " | "
                + String.join(" | ", sizes.stream().map(String::valueOf).toList())
                + " | slope | of the slope, standard error | at none | R² | farthest point |");
        out.println("|---" + "|---".repeat(sizes.size() + 5) + "|");
        return figures;
    }

    private Map<String, Double> timed(String name, Mechanism m, int size) throws ServiceException {
        long from = System.nanoTime();
        Map<String, Double> got = m.measure(size);
        err.println("capacity: " + name + " " + size + " took "
                + Duration.ofNanos(System.nanoTime() - from).toMillis() + " ms.");
        return got;
    }

    private void lines(Map<String, Map<Integer, Double>> figures) {
        figures.forEach((f, points) -> {
            Fit x = Fit.of(points);
            out.println("| " + f + " | "
                    + String.join(
                            " | ",
                            points.values().stream().map(CapacityCommand::shown).toList())
                    + " | " + shown(x.slope()) + " | " + shown(x.error()) + " | " + shown(x.intercept()) + " | "
                    + String.format(Locale.ROOT, "%.4f | %.0f %%", x.r2(), 100 * x.spread()) + " |");
        });
        out.println();
    }

    private void forecast(Mechanism m, int size, Map<String, Map<Integer, Double>> figures) throws ServiceException {
        Map<String, Double> run = timed(Wanted.NODES, m, size);
        out.println("| " + size + " " + m.counts() + " | forecast | run | run over forecast |");
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
                        : new java.math.BigDecimal(d)
                                .round(new java.math.MathContext(4))
                                .stripTrailingZeros()
                                .toPlainString();
    }
}
