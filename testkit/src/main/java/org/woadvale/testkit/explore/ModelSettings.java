package org.woadvale.testkit.explore;

import java.util.Map;

/**
 * The configuration of a model.
 *
 * @param members the number of nodes in the group; the model has one more, a spare with an empty disk
 * @param commands the maximum number of commands that clients propose
 * @param clockRates the rate of each node's clock relative to the simulated time; 1 for nodes that are not listed
 * @param mutant the modified engine to run, or {@link Mutant#NONE}
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
