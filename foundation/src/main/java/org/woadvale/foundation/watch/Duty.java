package org.woadvale.foundation.watch;

import org.woadvale.foundation.beam.Since;

/**
 * A one-node duty; the holder is empty while it is vacant. A term of zero: never held. Clear: it was taken when all
 * that earlier terms gave out had lapsed.
 */
public record Duty(String holder, long term, double level, @Since(2) boolean clear) {
    public static Duty never() {
        return new Duty("", 0, -1, false);
    }

    public boolean vacant() {
        return holder.isEmpty();
    }
}
