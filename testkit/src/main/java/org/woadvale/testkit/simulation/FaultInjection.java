package org.woadvale.testkit.simulation;

import org.woadvale.common.runtime.ServiceException;

/** One failure of a storm. */
interface FaultInjection {
    void strike() throws ServiceException;
}
