package org.woadvale.common.error;

import java.util.List;

/** The request was not executed and may succeed later or at another node. */
public abstract sealed class RetriableException extends ServiceException
        permits DeadlineExpiredException,
                NotLeaderException,
                QueueFullException,
                StaleViewException,
                StoppingException,
                ThrottledException,
                UnavailableException,
                UnreachableException {
    private static final long serialVersionUID = 1L;

    RetriableException(ErrorKind kind, String message, List<String> details) {
        super(kind, message, details);
    }
}
