package org.woadvale.operator;

import java.time.Duration;

/** Seam to the person at the terminal and to time. */
interface OperatorIo {
    /** False: the person says no, and the run stops. */
    boolean confirmDone(String what);

    void print(String line);

    Duration now();

    void sleep(Duration duration);
}
