package org.woadvale.operator;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.util.List;
import java.util.Map;
import org.woadvale.common.http.Status;

/** A runbook in the form of its JSON file (docs/design.md, section 11.1). */
public record Runbook(
        @NotNull @Pattern(regexp = "[a-z0-9-]{1,64}") String name,
        @NotNull String purpose,
        Map<@Pattern(regexp = Runbook.NAME_PATTERN) String, @NotNull String> needs,
        @NotEmpty List<@NotNull @Valid Step> steps) {
    static final String NAME_PATTERN = "[a-zA-Z][a-zA-Z0-9]{0,31}";

    /** Absent components are empty. */
    public Runbook {
        needs = needs == null ? Map.of() : needs;
        steps = steps == null ? List.of() : List.copyOf(steps);
    }

    /** What a step does. */
    public enum Kind {
        /** Sends a request once; the runbook stops unless the response is as expected. */
        REQUIRE,
        /** Sends a request that performs an action; it is repeated only after a retryable error. */
        ASK,
        /** Repeats a request until the response is as expected. */
        WAIT,
        /** Removes a value from a document that an earlier step stored. */
        REMOVE,
        /** Is done by a person, who confirms it. */
        PERSON
    }

    /** The expected response; with an empty pointer only the status is checked. */
    public record Expect(@Min(0) @Max(599) int status, String pointer, String equals) {
        /** Absent components are not checked; the status defaults to 200. */
        public Expect {
            status = status == 0 ? Status.OK : status;
            pointer = pointer == null ? "" : pointer;
            equals = equals == null ? "" : equals;
        }
    }

    /** One step: its request, the expected response, and the values that it stores for later steps. */
    public record Step(
            @NotNull String title,
            @NotNull Kind kind,
            @Pattern(regexp = "(GET|PUT|POST|DELETE)?") String method,
            String url,
            Map<String, String> headers,
            String body,
            @Valid Expect expect,
            Map<@Pattern(regexp = Runbook.NAME_PATTERN) String, String> keep,
            @Min(0) @Max(3600000) long withinMs,
            String each,
            String from,
            String pointer) {
        private static final long DEFAULT_TIME_LIMIT_MS = 30000;

        /** Absent components are empty; the method defaults to GET and the time limit to 30 s. */
        public Step {
            method = method == null ? "GET" : method;
            url = url == null ? "" : url;
            headers = headers == null ? Map.of() : headers;
            body = body == null ? "" : body;
            expect = expect == null ? new Expect(0, "", "") : expect;
            keep = keep == null ? Map.of() : keep;
            withinMs = withinMs == 0 ? DEFAULT_TIME_LIMIT_MS : withinMs;
            each = each == null ? "" : each;
            from = from == null ? "" : from;
            pointer = pointer == null ? "" : pointer;
        }

        boolean sendsRequest() {
            return kind == Kind.REQUIRE || kind == Kind.ASK || kind == Kind.WAIT;
        }
    }
}
