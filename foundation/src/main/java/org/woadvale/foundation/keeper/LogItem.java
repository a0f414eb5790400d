package org.woadvale.foundation.keeper;

/** One entry of a part's log. */
public record LogItem(long term, Kind kind, byte[] bytes) {
    public enum Kind { COMMAND, GROUP, NOTHING }
}
