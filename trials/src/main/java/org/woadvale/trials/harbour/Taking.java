package org.woadvale.trials.harbour;

import org.woadvale.trials.buoy.Sightings;

/**
 * What a caller makes of the answer to a hand-in. A 202 without a handle proves nothing: the caller asks again with
 * the same id, as after no answer, and what was answered counts as broken. design 9.6
 */
record Taking(Sightings.Said said, String kind, String handle, boolean repeated) {
    static final Taking NONE = new Taking(Sightings.Said.UNKNOWN, "no answer", "", false);
    private static final Taking BROKEN = new Taking(Sightings.Said.UNKNOWN, "accepted without a handle", "", false);

    static Taking of(Client.Got g) {
        if (g.status() == 202) {
            String handle = g.json().path("handle").asText("");
            return handle.isEmpty() ? BROKEN
                : new Taking(Sightings.Said.ACCEPTED, "accepted", handle, g.json().path("repeated").asBoolean());
        }
        boolean unknown = g.status() >= 500 && g.status() != 503;
        return new Taking(unknown ? Sightings.Said.UNKNOWN : Sightings.Said.REFUSED, g.json().path("kind").asText(), "",
            false);
    }

    boolean broken() {
        return equals(BROKEN);
    }
}
