package org.woadvale.testkit.simulation;

import java.io.PrintStream;
import java.time.Duration;
import org.woadvale.common.error.ServiceException;

/** {@code trace [SEEDS]}: prints digests of seeded simulations, to verify that two builds behave the same. */
public final class TraceCommand {
    private static final Duration DAY = Duration.ofSeconds(25);

    private final PrintStream out;

    public TraceCommand(PrintStream out) {
        this.out = out;
    }

    /** Runs the seeds from 1 to the given one on both kinds of fleet. */
    public int run(long seeds) throws ServiceException {
        for (long seed = 1; seed <= seeds; seed++) {
            SeededPlatformDays day = new SeededPlatformDays(seed);
            int broken = day.run(DAY).size();
            out.println("platform day " + seed + ": " + day.trace() + ", broken rules " + broken);
            FaultStorm storm = new FaultStorm(seed);
            broken = storm.run().size();
            out.println("fault storm " + seed + ": " + storm.trace() + ", broken rules " + broken);
        }
        return 0;
    }
}
