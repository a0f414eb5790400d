package org.woadvale.testkit.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.woadvale.common.error.ServiceException;

/** The linear fit, the validation of the command line, and a hollow fleet that becomes ready. */
class CapacityTest {
    private static final long GB = 1L << 30;

    @Test
    void fitOfPointsOnALineIsExact() {
        Map<Integer, Double> points = new TreeMap<>();
        for (int x : new int[] {10, 20, 40, 80}) {
            points.put(x, 7 + 0.5 * x);
        }
        LinearFit fit = LinearFit.of(points);
        assertEquals(0.5, fit.slope(), 1e-9);
        assertEquals(7, fit.intercept(), 1e-9);
        assertEquals(1, fit.r2(), 1e-9);
        assertEquals(0, fit.maxRelativeResidual(), 1e-9);
        assertEquals(507, fit.predict(1000), 1e-6);
    }

    /** Noise of 10 % barely changes the slope but shows in the residuals, and so does a curve. */
    @Test
    void residualsShowNoiseAndCurvature() {
        Random random = new Random(5);
        Map<Integer, Double> noisy = new TreeMap<>();
        Map<Integer, Double> curved = new TreeMap<>();
        for (int x : new int[] {10, 20, 40, 80, 160}) {
            noisy.put(x, 3.0 * x * (0.95 + random.nextDouble() / 10));
            curved.put(x, 1.0 * x * x);
        }
        LinearFit fit = LinearFit.of(noisy);
        assertEquals(3, fit.slope(), 0.3);
        assertTrue(
                fit.maxRelativeResidual() > 0
                        && fit.maxRelativeResidual() < 0.3
                        && fit.r2() > 0.99
                        && fit.slopeStandardError() > 0,
                fit::toString);
        assertTrue(LinearFit.of(curved).maxRelativeResidual() > 0.5);
    }

    @Test
    void fitOfThreePointsIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(Map.of(1, 1.0, 2, 2.0, 3, 3.0)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "--nodes 0,30,60,120; A size is a whole number from 1 to 99999999, not \"0\".",
                "--nodes 30,60,,120; A size is a whole number from 1 to 99999999, not \"\".",
                "--nodes 30,60,-1,120; A size is a whole number from 1 to 99999999, not \"-1\".",
                "--nodes 30,60,60; A line needs 4 different sizes at least, not 2.",
                "--only tides; There is no mechanism tides",
                "--sizes 1,2,3,4; Sizes belong to one mechanism",
                "--only tenants --sizes 8,16,32,1001; 1001 tenants are more than the 1000 that can be run.",
                "--only tenants --largest 100; The largest run is a number of nodes over zero",
                "--largest -5; The largest run is a number of nodes over zero",
                "--nodes 30,60,120,20000; 20000 nodes, 8 tenants need about",
                "--nodes 30,60,120,240 --largest 20000; 20000 nodes, 8 tenants need about",
                "--more; Found unexpected parameters"
            })
    void invalidCommandLineGivesOneLineAndStartsNothing(String line, String sentence, @TempDir Path folder)
            throws Exception {
        Path plots = folder.resolve("plots");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new CapacityCommand(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run((line + " --out " + plots).split(" "));
        String message = err.toString(StandardCharsets.UTF_8);
        assertEquals(2, code, message);
        assertTrue(message.startsWith("capacity: " + sentence), message);
        assertEquals(1, message.strip().lines().count(), message);
        assertEquals("", out.toString(StandardCharsets.UTF_8));
        assertFalse(Files.exists(plots));
    }

    @Test
    void defaultSizesFitIntoTwoGigabytes() throws ServiceException {
        for (Mechanism mechanism :
                MeasurementPlan.parse(new String[0], 2 * GB).sizesByMechanism().keySet()) {
            assertTrue(mechanism.defaultSizes().size() >= LinearFit.MIN_POINTS, mechanism.sizeLabel());
        }
    }

    /** Every node knows every other, each tenant's bucket has an owner, and a change reaches every node. */
    @Test
    void hollowFleetBecomesReady() throws ServiceException {
        HollowFleet fleet = new HollowFleet(new FleetSize(9, 3, 4, 0));
        assertTrue(fleet.changeEverywhere().toMillis() < 2000);
        assertTrue(fleet.setLeaving(true).toMillis() < 2000);
        assertTrue(ResourceUsage.sum(fleet.nodeUsage().values()).bytes() > 0);
    }
}
