package org.woadvale.testkit.capacity;

import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;

/** Something whose cost is measured against a size. */
interface Mechanism {
    /** What the size counts, as it stands under a plot. */
    String counts();

    /** The sizes that are measured unless the command names others; at least four. */
    List<Integer> sizes();

    /** The largest size that the shipped code takes at all. */
    int most();

    /** Heap in bytes that a run of this size is expected to need; a little high. */
    long needs(int size);

    /** One run: figures by name, each with its unit in the name. */
    Map<String, Double> measure(int size) throws ServiceException;
}
