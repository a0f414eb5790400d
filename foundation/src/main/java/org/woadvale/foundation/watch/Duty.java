package org.woadvale.foundation.watch;

/** A one-node duty; the holder is empty while it is vacant. A term of zero: never held. */
public record Duty(String holder, long term, double level) {
    public static Duty never() {
        return new Duty("", 0, -1);
    }

    public boolean vacant() {
        return holder.isEmpty();
    }
}
