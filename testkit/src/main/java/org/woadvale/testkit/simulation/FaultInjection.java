package org.woadvale.testkit.simulation;

import org.woadvale.common.error.ServiceException;

/** One failure of a faultStorm. */
interface FaultInjection {
    void strike() throws ServiceException;
}
