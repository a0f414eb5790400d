package org.woadvale.testkit.capacity;

/**
 * A hollow fleet: nodes, tenants of the configuration, processors in one list, passes drawn by each node in a second.
 */
record Shape(int nodes, int tenants, int destinations, double drawsPerS) {
    static final int ZONES = 9;
    /** Every fourth node is a store, the others are intakes. */
    static final int STORE_EVERY = 4;

    static Shape usual() {
        return new Shape(36, 8, 16, 0);
    }

    Shape nodes(int n) {
        return new Shape(n, tenants, destinations, drawsPerS);
    }

    Shape tenants(int n) {
        return new Shape(nodes, n, destinations, drawsPerS);
    }

    Shape destinations(int n) {
        return new Shape(nodes, tenants, n, drawsPerS);
    }

    Shape draws(double n) {
        return new Shape(nodes, tenants, destinations, n);
    }
}
