package org.woadvale.operator;

import java.io.IOException;
import java.util.Map;

/** Seam to the public APIs. */
@FunctionalInterface
interface Wire {
    record Got(int status, Map<String, String> headers, byte[] body) {}

    Got send(String method, String url, Map<String, String> headers, byte[] body) throws IOException;
}
