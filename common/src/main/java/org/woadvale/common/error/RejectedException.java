package org.woadvale.common.error;

import java.util.List;

/** The request is invalid or not permitted: it was not executed, and repeating it unchanged will not succeed. */
public abstract sealed class RejectedException extends ServiceException
        permits ConflictException,
                ForbiddenException,
                InvalidConfigurationException,
                InvalidRequestException,
                NotFoundException,
                RequestTooLargeException,
                StaleVersionException,
                UnauthorizedException,
                UnknownLaneException {
    private static final long serialVersionUID = 1L;

    RejectedException(ErrorKind kind, String message, List<String> details) {
        super(kind, message, details);
    }
}
