package org.woadvale.common.http;

/** HTTP status codes that the product answers or reads. */
public final class Status {
    /** The request was done. */
    public static final int OK = 200;
    /** A message was accepted for later. */
    public static final int ACCEPTED = 202;
    /** There is nothing to hand out. */
    public static final int NO_CONTENT = 204;
    /** The first code that is no success. */
    public static final int FIRST_REDIRECT = 300;
    /** The request is at fault. */
    public static final int BAD_REQUEST = 400;
    /** No such thing. */
    public static final int NOT_FOUND = 404;
    /** The request took too long to arrive. */
    public static final int REQUEST_TIMEOUT = 408;
    /** The request contradicts the state. */
    public static final int CONFLICT = 409;
    /** The request reached another server than the one that it is for. */
    public static final int MISDIRECTED = 421;
    /** The content breaks its rules. */
    public static final int UNPROCESSABLE = 422;
    /** A rate limit is reached. */
    public static final int TOO_MANY_REQUESTS = 429;
    /** A fault of the server. */
    public static final int INTERNAL_ERROR = 500;
    /** A fault behind the server. */
    public static final int BAD_GATEWAY = 502;
    /** Not right now. */
    public static final int UNAVAILABLE = 503;
    /** No status is larger. */
    public static final int LARGEST = 999;

    private Status() {}
}
