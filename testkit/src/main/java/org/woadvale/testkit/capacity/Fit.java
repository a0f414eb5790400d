package org.woadvale.testkit.capacity;

import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points by least squares (commons-math3): figure = intercept + slope x size. Spread
 * is the largest distance of a point from the line, as a share of the point; r2 of a figure that does not move is taken
 * as one.
 */
record Fit(double slope, double intercept, double r2, double spread, double error) {
    static final int FEWEST = 4;

    static Fit of(Map<Integer, Double> points) {
        if (points.size() < FEWEST) {
            throw new IllegalArgumentException("a fit needs " + FEWEST + " sizes at least, not " + points.size());
        }
        SimpleRegression r = new SimpleRegression();
        points.forEach((x, y) -> r.addData(x, y));
        double worst = points.entrySet().stream()
                .mapToDouble(entry -> Math.abs(entry.getValue() - r.predict(entry.getKey()))
                        / Math.max(Math.abs(entry.getValue()), 1e-12))
                .max()
                .orElse(0);
        boolean flat = r.getTotalSumSquares() < 1e-18;
        return new Fit(r.getSlope(), r.getIntercept(), flat ? 1 : r.getRSquare(), worst, flat ? 0 : r.getSlopeStdErr());
    }

    double at(double size) {
        return intercept + slope * size;
    }
}
