package org.woadvale.testkit.capacity;

import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;

/** A part of the system whose resource usage is measured as a function of a size. */
interface Mechanism {
    /** What the size counts; the label of the x axis of a plot. */
    String sizeLabel();

    /** The sizes that are measured unless the command line gives others; at least four. */
    List<Integer> defaultSizes();

    /** The largest size that the measured code supports. */
    int maxSize();

    /** An estimate of the heap that a run of this size needs, in bytes; rather too high than too low. */
    long estimatedHeapBytes(int size);

    /** Measures one run; returns the figures by name, each name with its unit. */
    Map<String, Double> measure(int size) throws ServiceException;
}
