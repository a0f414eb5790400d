package org.woadvale.testkit.simulation;

import org.woadvale.common.error.ServiceException;

/** One fault of a {@link FaultStorm}. */
interface FaultInjection {
    void inject() throws ServiceException;
}
