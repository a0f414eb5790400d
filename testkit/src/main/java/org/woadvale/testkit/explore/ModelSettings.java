package org.woadvale.testkit.explore;

import java.util.Map;

/**
 * The bounds of a model.
 *
 * @param members how many nodes the group has; one more stands by with an empty disk
 * @param commands how many commands clients propose
 * @param clockRates how fast each node's clock runs, 1 where none is given
 */
record ModelSettings(int members, int commands, Map<String, Double> clockRates, Mutant mutant) {
    static ModelSettings of(int members) {
        return new ModelSettings(members, 3, Map.of(), Mutant.NONE);
    }

    ModelSettings withCommands(int count) {
        return new ModelSettings(members, count, clockRates, mutant);
    }

    ModelSettings withClockRates(Map<String, Double> rates) {
        return new ModelSettings(members, commands, Map.copyOf(rates), mutant);
    }

    ModelSettings withMutant(Mutant other) {
        return new ModelSettings(members, commands, clockRates, other);
    }
}
