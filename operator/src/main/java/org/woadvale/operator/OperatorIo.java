package org.woadvale.operator;

import java.time.Duration;

/** Interaction with the person at the terminal, and the clock; tests substitute it. */
interface OperatorIo {
    /** Asks the person to confirm that a manual step is done; on false the run stops. */
    boolean confirmDone(String instruction);

    void print(String line);

    Duration now();

    void sleep(Duration duration);
}
