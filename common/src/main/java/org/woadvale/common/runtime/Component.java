package org.woadvale.common.runtime;

import org.woadvale.common.error.ServiceException;

/** A long-lived thing in the supervisor tree. */
public interface Component {
    /** For logs. */
    String name();

    /** Begins its work; called once, and again after a failure. */
    void start() throws ServiceException;

    /** Ends its work in order. */
    void stop();

    /** False when the component has died and should be started again. */
    default boolean alive() {
        return true;
    }
}
