package org.woadvale.operator;

import java.io.IOException;
import java.util.Map;

/** Sends HTTP requests to the nodes' public APIs; tests substitute it. */
@FunctionalInterface
interface HttpTransport {
    record HttpResult(int status, Map<String, String> headers, byte[] body) {}

    HttpResult send(String method, String url, Map<String, String> headers, byte[] body) throws IOException;
}
