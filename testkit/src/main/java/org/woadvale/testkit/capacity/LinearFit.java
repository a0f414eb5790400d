package org.woadvale.testkit.capacity;

import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A least-squares line through measured points (commons-math3): figure = intercept + slope x size.
 *
 * @param r2 the coefficient of determination; 1 for a constant figure
 * @param maxRelativeResidual the largest distance of a point from the line, relative to the point's value
 * @param slopeStandardError the standard error of the slope; 0 for a constant figure
 */
record LinearFit(double slope, double intercept, double r2, double maxRelativeResidual, double slopeStandardError) {
    static final int MIN_POINTS = 4;

    static LinearFit of(Map<Integer, Double> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException("a fit needs at least " + MIN_POINTS + " sizes, not " + points.size());
        }
        SimpleRegression regression = new SimpleRegression();
        points.forEach((x, y) -> regression.addData(x, y));
        double maxResidual = points.entrySet().stream()
                .mapToDouble(entry -> Math.abs(entry.getValue() - regression.predict(entry.getKey()))
                        / Math.max(Math.abs(entry.getValue()), 1e-12))
                .max()
                .orElse(0);
        boolean constant = regression.getTotalSumSquares() < 1e-18;
        return new LinearFit(
                regression.getSlope(),
                regression.getIntercept(),
                constant ? 1 : regression.getRSquare(),
                maxResidual,
                constant ? 0 : regression.getSlopeStdErr());
    }

    double predict(double size) {
        return intercept + slope * size;
    }
}
