package org.woadvale.testkit.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Heap measurements of this process. */
final class Heap {
    /**
     * The serial collector compacts the heap completely only in every fourth collection (MarkSweepAlwaysCompactCount);
     * the other three leave some dead objects in place.
     */
    private static final int COLLECTIONS = 4;

    private Heap() {}

    /** Returns the bytes of heap in use after full collections. */
    static long usedAfterCollection() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** The memory that a run may use: the maximum heap of this process, and at most half of the machine's memory. */
    static long maxRunBytes() {
        OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return Math.min(Runtime.getRuntime().maxMemory(), os.getTotalMemorySize() / 2);
    }
}
