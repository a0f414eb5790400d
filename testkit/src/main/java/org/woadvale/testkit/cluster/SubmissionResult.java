package org.woadvale.testkit.cluster;

import org.woadvale.testkit.stub.Observations;

/**
 * How a caller interprets the answer to a submission. A 202 without a handle proves nothing: the caller repeats the
 * submission with the same id, as after no answer, and the answer counts as malformed (docs/design.md, section 9.6).
 */
record SubmissionResult(Observations.SubmissionOutcome outcome, String kind, String handle, boolean repeated) {
    static final SubmissionResult NO_ANSWER =
            new SubmissionResult(Observations.SubmissionOutcome.UNKNOWN, "no answer", "", false);
    private static final SubmissionResult MISSING_HANDLE =
            new SubmissionResult(Observations.SubmissionOutcome.UNKNOWN, "accepted without a handle", "", false);

    static SubmissionResult of(Client.HttpAnswer answer) {
        if (answer.status() == 202) {
            String handle = answer.json().path("handle").asText("");
            return handle.isEmpty()
                    ? MISSING_HANDLE
                    : new SubmissionResult(
                            Observations.SubmissionOutcome.ACCEPTED,
                            "accepted",
                            handle,
                            answer.json().path("repeated").asBoolean());
        }
        boolean unknown = answer.status() >= 500 && answer.status() != 503;
        return new SubmissionResult(
                unknown ? Observations.SubmissionOutcome.UNKNOWN : Observations.SubmissionOutcome.REFUSED,
                answer.json().path("kind").asText(),
                "",
                false);
    }

    boolean isMalformed() {
        return equals(MISSING_HANDLE);
    }
}
