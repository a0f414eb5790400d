package org.woadvale.common.runtime;

import org.woadvale.common.error.ServiceException;

/** A long-lived thing in the supervisor tree. */
public interface Component {
    String name();

    void start() throws ServiceException;

    void stop();

    /** False when the component has died and should be started again. */
    default boolean alive() {
        return true;
    }
}
