package org.woadvale.testkit.capacity;

import java.util.Collection;

/** Frames and bytes in both directions, requests served, and CPU time in seconds. */
record ResourceUsage(double frames, double bytes, double requests, double cpuSeconds) {
    static final ResourceUsage ZERO = new ResourceUsage(0, 0, 0, 0);

    ResourceUsage plus(ResourceUsage other) {
        return new ResourceUsage(
                frames + other.frames, bytes + other.bytes, requests + other.requests, cpuSeconds + other.cpuSeconds);
    }

    ResourceUsage minus(ResourceUsage other) {
        return plus(other.times(-1));
    }

    ResourceUsage times(double factor) {
        return new ResourceUsage(frames * factor, bytes * factor, requests * factor, cpuSeconds * factor);
    }

    static ResourceUsage sum(Collection<ResourceUsage> all) {
        return all.stream().reduce(ZERO, ResourceUsage::plus);
    }
}
