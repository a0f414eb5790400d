package org.woadvale.testkit.capacity;

/**
 * The size of a hollow fleet.
 *
 * @param tenants tenants of the configuration
 * @param destinations processors in the one processor list
 * @param tokensPerSecond admission tokens that each node acquires per second
 */
record FleetSize(int nodes, int tenants, int destinations, double tokensPerSecond) {
    static final int ZONES = 9;
    /** Every fourth node is a store; the others are intakes. */
    static final int STORE_EVERY = 4;

    static FleetSize defaults() {
        return new FleetSize(36, 8, 16, 0);
    }

    FleetSize nodes(int n) {
        return new FleetSize(n, tenants, destinations, tokensPerSecond);
    }

    FleetSize tenants(int n) {
        return new FleetSize(nodes, n, destinations, tokensPerSecond);
    }

    FleetSize destinations(int n) {
        return new FleetSize(nodes, tenants, n, tokensPerSecond);
    }

    FleetSize withTokensPerSecond(double n) {
        return new FleetSize(nodes, tenants, destinations, n);
    }
}
