package org.woadvale.testkit.cluster;

import org.woadvale.testkit.stub.Observations;

/**
 * What a caller makes of the answer to a submission. A 202 without a handle proves nothing: the caller asks again with
 * the same id, as after no answer, and what was answered counts as broken. (docs/design.md, section 9.6)
 */
record Sampling(Observations.Said said, String kind, String handle, boolean repeated) {
    static final Sampling NONE = new Sampling(Observations.Said.UNKNOWN, "no answer", "", false);
    private static final Sampling BROKEN =
            new Sampling(Observations.Said.UNKNOWN, "accepted without a handle", "", false);

    static Sampling of(Client.Got got) {
        if (got.status() == 202) {
            String handle = got.json().path("handle").asText("");
            return handle.isEmpty()
                    ? BROKEN
                    : new Sampling(
                            Observations.Said.ACCEPTED,
                            "accepted",
                            handle,
                            got.json().path("repeated").asBoolean());
        }
        boolean unknown = got.status() >= 500 && got.status() != 503;
        return new Sampling(
                unknown ? Observations.Said.UNKNOWN : Observations.Said.REFUSED,
                got.json().path("kind").asText(),
                "",
                false);
    }

    boolean broken() {
        return equals(BROKEN);
    }
}
