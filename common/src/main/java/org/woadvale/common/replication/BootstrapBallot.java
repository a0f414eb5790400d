package org.woadvale.common.replication;

import java.util.Comparator;

/** Orders the proposals of initial members: by round, and within a round by the proposing node. */
public record BootstrapBallot(long round, String proposer) implements Comparable<BootstrapBallot> {
    /** Lower than the ballot of every proposal. */
    static final BootstrapBallot NONE = new BootstrapBallot(0, "");

    private static final Comparator<BootstrapBallot> ORDER =
            Comparator.comparingLong(BootstrapBallot::round).thenComparing(BootstrapBallot::proposer);

    @Override
    public int compareTo(BootstrapBallot other) {
        return ORDER.compare(this, other);
    }

    boolean isBefore(BootstrapBallot other) {
        return compareTo(other) < 0;
    }

    BootstrapBallot later(BootstrapBallot other) {
        return isBefore(other) ? other : this;
    }
}
