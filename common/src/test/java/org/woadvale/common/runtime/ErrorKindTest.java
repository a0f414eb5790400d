package org.woadvale.common.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ErrorKind;

/** Compares the error kinds with an independent copy of their table, so that no value changes unnoticed. */
class ErrorKindTest {
    private static final String TABLE = """
        bad_request 400 definite final
        unauthorised 401 definite final
        forbidden 403 definite final
        not_found 404 definite final
        unknown_lane 404 definite final
        conflict 409 definite final
        stale_base 412 definite final
        too_large 413 definite final
        invalid_layout 422 definite final
        throttled 429 definite retryable
        internal 500 unknown retryable
        queue_full 503 definite retryable
        stale_view 503 definite retryable
        not_owner 503 definite retryable
        unavailable 503 definite retryable
        expired 503 definite retryable
        stopping 503 definite retryable
        unreachable 503 definite retryable
        unknown_outcome 504 unknown retryable""";

    @Test
    void tableIsAsDocumented() {
        assertEquals(
                TABLE,
                Arrays.stream(ErrorKind.values())
                        .map(kind ->
                                kind.wireName() + " " + kind.status() + " " + (kind.definite() ? "definite" : "unknown")
                                        + " " + (kind.retryable() ? "retryable" : "final"))
                        .collect(Collectors.joining("\n")));
    }
}
