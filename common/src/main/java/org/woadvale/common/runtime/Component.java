package org.woadvale.common.runtime;

import org.woadvale.common.error.ServiceException;

/** A long-lived part of a process, managed by a {@link Supervisor}. */
public interface Component {
    /** The name of the component in logs. */
    String name();

    /** Starts the component; called once, and again after a failure. */
    void start() throws ServiceException;

    /** Stops the component in an orderly way. */
    void stop();

    /** Whether the component is running; false if it has failed and is to be restarted. */
    default boolean alive() {
        return true;
    }
}
