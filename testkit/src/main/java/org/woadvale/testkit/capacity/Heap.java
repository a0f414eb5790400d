package org.woadvale.testkit.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Bytes of heap in use after a collection. */
final class Heap {
    /**
     * The serial collector leaves some dead objects in place in three of four collections
     * (MarkSweepAlwaysCompactCount).
     */
    private static final int COLLECTIONS = 4;

    private Heap() {}

    static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** What a run may take: the heap of this process, and never over half of the machine's memory. */
    static long allowed() {
        OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return Math.min(Runtime.getRuntime().maxMemory(), os.getTotalMemorySize() / 2);
    }
}
