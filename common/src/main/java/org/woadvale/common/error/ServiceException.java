package org.woadvale.common.error;

import java.util.List;

/**
 * The checked exception of all requests between nodes and from outside callers. Its type tells the caller whether the
 * request may have been executed and whether to retry it.
 */
public abstract sealed class ServiceException extends Exception
        permits RejectedException, RetriableException, OutcomeUnknownException, InternalErrorException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient List<String> details;

    ServiceException(ErrorKind kind, String message, List<String> details) {
        super(message, null, false, false);
        this.kind = kind;
        this.details = List.copyOf(details);
    }

    /** The kind, which determines the HTTP status, whether the failure is definite and whether to retry. */
    public ErrorKind kind() {
        return kind;
    }

    /** Additional information for the caller, such as the places that are invalid; often empty. */
    public List<String> details() {
        return details;
    }

    /** Creates the exception for a kind that was received, for example from a peer. */
    public static ServiceException of(ErrorKind kind, String message, List<String> details) {
        return switch (kind) {
            case BAD_REQUEST -> new InvalidRequestException(message, details);
            case UNAUTHORISED -> new UnauthorizedException(message, details);
            case FORBIDDEN -> new ForbiddenException(message, details);
            case NOT_FOUND -> new NotFoundException(message, details);
            case UNKNOWN_LANE -> new UnknownLaneException(message, details);
            case CONFLICT -> new ConflictException(message, details);
            case STALE_BASE -> new StaleVersionException(message, details);
            case TOO_LARGE -> new RequestTooLargeException(message, details);
            case INVALID_LAYOUT -> new InvalidConfigurationException(message, details);
            case THROTTLED -> new ThrottledException(message, details);
            case QUEUE_FULL -> new QueueFullException(message, details);
            case STALE_VIEW -> new StaleViewException(message, details);
            case NOT_OWNER -> new NotLeaderException(message, details);
            case UNAVAILABLE -> new UnavailableException(message, details);
            case EXPIRED -> new DeadlineExpiredException(message, details);
            case STOPPING -> new StoppingException(message, details);
            case UNREACHABLE -> new UnreachableException(message, details);
            case UNKNOWN_OUTCOME -> new OutcomeUnknownException(message, details);
            case INTERNAL -> new InternalErrorException(message, details);
        };
    }

    /**
     * Returns the throwable itself if it is a {@code ServiceException}; any other becomes an internal error, whose
     * outcome is unknown.
     */
    public static ServiceException of(Throwable error) {
        if (error instanceof ServiceException failure) {
            return failure;
        }
        return new InternalErrorException(error.getClass().getSimpleName() + ": " + error.getMessage());
    }
}
