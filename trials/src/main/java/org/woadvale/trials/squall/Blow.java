package org.woadvale.trials.squall;

import org.woadvale.foundation.lantern.Fault;

/** One failure of a storm. */
interface Blow {
    void strike() throws Fault;
}
