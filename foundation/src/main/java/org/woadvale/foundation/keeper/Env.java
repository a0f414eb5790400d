package org.woadvale.foundation.keeper;

import java.util.function.LongSupplier;

import org.woadvale.foundation.beam.Beam;
import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.lantern.Schedules;
import org.woadvale.foundation.lantern.Times;
import org.woadvale.foundation.logbook.Logbook;

/** All that a replica needs of the world; each piece can be faked: design 2.1. */
public record Env(Times times, Schedules schedules, Beam beam, Codec codec, Logbook logbook, LongSupplier random,
                  Pace pace) {
    public String self() {
        return beam.self();
    }
}
