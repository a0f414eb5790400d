package org.woadvale.common.http;

/** HTTP status codes that the nodes send or interpret. */
public final class Status {
    /** The request succeeded. */
    public static final int OK = 200;
    /** A message was accepted for later processing. */
    public static final int ACCEPTED = 202;
    /** No message is available. */
    public static final int NO_CONTENT = 204;
    /** The lowest redirection code; success codes are below it. */
    public static final int FIRST_REDIRECT = 300;
    /** The request is malformed or invalid. */
    public static final int BAD_REQUEST = 400;
    /** The resource does not exist. */
    public static final int NOT_FOUND = 404;
    /** The request took too long to arrive completely. */
    public static final int REQUEST_TIMEOUT = 408;
    /** The request conflicts with the current state. */
    public static final int CONFLICT = 409;
    /** The request reached a server other than the one it was meant for. */
    public static final int MISDIRECTED = 421;
    /** The content is well-formed but fails validation. */
    public static final int UNPROCESSABLE = 422;
    /** A rate limit was exceeded. */
    public static final int TOO_MANY_REQUESTS = 429;
    /** An internal error of the server. */
    public static final int INTERNAL_ERROR = 500;
    /** An error of an upstream server. */
    public static final int BAD_GATEWAY = 502;
    /** The service is temporarily unavailable. */
    public static final int UNAVAILABLE = 503;
    /** The largest three-digit status code. */
    public static final int MAX_CODE = 999;

    private Status() {}
}
