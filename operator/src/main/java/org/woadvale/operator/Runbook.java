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

/** A runbook as it stands in its file (docs/design.md, section 11.1). */
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

    /** REQUIRE: must hold now. ASK: an action. WAIT: until it holds. REMOVE: edits a kept document. PERSON: by hand. */
    public enum Kind {
        /** Must hold, or the runbook ends. */
        REQUIRE,
        /** A request whose answer is expected. */
        ASK,
        /** Is repeated until the answer is as expected. */
        WAIT,
        /** Takes a value out of a document that was kept. */
        REMOVE,
        /** Is done by a person. */
        PERSON
    }

    /** What an answer must show; an empty pointer looks at the status only. */
    public record Expect(@Min(0) @Max(599) int status, String pointer, String equals) {
        /** Absent components are not looked at; the status is 200 unless told otherwise. */
        public Expect {
            status = status == 0 ? Status.OK : status;
            pointer = pointer == null ? "" : pointer;
            equals = equals == null ? "" : equals;
        }
    }

    /** One step: what it asks, what it expects, and what it keeps of the answer for later steps. */
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
        private static final long USUAL_MS = 30000;

        /** Absent components are empty. */
        public Step {
            method = method == null ? "GET" : method;
            url = url == null ? "" : url;
            headers = headers == null ? Map.of() : headers;
            body = body == null ? "" : body;
            expect = expect == null ? new Expect(0, "", "") : expect;
            keep = keep == null ? Map.of() : keep;
            withinMs = withinMs == 0 ? USUAL_MS : withinMs;
            each = each == null ? "" : each;
            from = from == null ? "" : from;
            pointer = pointer == null ? "" : pointer;
        }

        boolean sendsRequest() {
            return kind == Kind.REQUIRE || kind == Kind.ASK || kind == Kind.WAIT;
        }
    }
}
