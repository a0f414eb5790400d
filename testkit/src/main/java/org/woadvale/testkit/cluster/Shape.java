package org.woadvale.testkit.cluster;

import java.util.Arrays;

/** Sizes of fleets (docs/design.md, section 12.2). */
public enum Shape {
    SMALL(2, 3, 3, 3, 4, 2),
    LANKAVIDYA(8, 3, 3, 3, 20, 12),
    ROTTERDAM(7, 4, 3, 4, 12, 12);

    final int intakes;
    final int stores;
    final int controlNodes;
    final int zones;
    final int processors;
    final int endpoints;

    Shape(int intakes, int stores, int controlNodes, int zones, int processors, int endpoints) {
        this.intakes = intakes;
        this.stores = stores;
        this.controlNodes = controlNodes;
        this.zones = zones;
        this.processors = processors;
        this.endpoints = endpoints;
    }

    static Shape of(String name) {
        return Arrays.stream(values())
                .filter(shape -> shape.name().equalsIgnoreCase(name))
                .findFirst()
                .orElseThrow(() ->
                        new IllegalArgumentException("unknown shape " + name + "; use small, lankavidya, rotterdam"));
    }
}
