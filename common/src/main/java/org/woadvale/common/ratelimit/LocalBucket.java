package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** The local bucket of one node for one shared bucket: drawn without a call. design 8.3 */
public final class LocalBucket {
    private static final Duration GIVE_BACK =
            AdmissionTokens.LIFE.multipliedBy(7).dividedBy(10);

    /** One drawn pass; dead after its end. */
    public record Pass(long grant, Duration until) {}

    private static final class Lot {
        final long grant;
        final Duration until;
        final int granted;
        int drawn;
        int settled;
        boolean closed;
        boolean told;

        Lot(long grant, int granted, Duration until) {
            this.grant = grant;
            this.granted = granted;
            this.until = until;
        }

        int left(Duration now) {
            return closed || now.compareTo(until) >= 0 ? 0 : granted - drawn;
        }
    }

    private final Deque<Lot> lots = new ArrayDeque<>();
    private int lastBatch;

    public int left(Duration now) {
        return lots.stream().mapToInt(l -> l.left(now)).sum();
    }

    public Optional<Pass> take(Duration now) {
        for (Lot l : lots) {
            if (l.left(now) > 0) {
                l.drawn++;
                return Optional.of(new Pass(l.grant, l.until));
            }
        }
        return Optional.empty();
    }

    private Optional<Lot> unsettled(Pass p) {
        return lots.stream()
                .filter(l -> l.grant == p.grant() && !l.closed && l.drawn > l.settled)
                .findFirst();
    }

    /** A pass drawn for work that was definitely refused is spendable again while it lives. */
    public void putBack(Pass p) {
        unsettled(p).ifPresent(l -> l.drawn--);
    }

    /** Only now is the pass reported as spent; a report can so never be taken back. */
    public void settle(Pass p) {
        unsettled(p).ifPresent(l -> {
            l.settled++;
            l.told = false;
        });
    }

    /** Life counts from when the pass was first asked for. */
    public void granted(long grant, int n, Duration asked, Duration life, Duration now) {
        lastBatch = n;
        Duration until = asked.plus(life);
        if (n > 0 && until.compareTo(now) > 0) {
            lots.add(new Lot(grant, n, until));
        }
    }

    /** Ahead of need: below half a batch; a batch of one is asked for only on demand. */
    public boolean low(Duration now) {
        int left = left(now);
        return left == 0 || (lastBatch >= 2 && left * 2 <= lastBatch);
    }

    /** Something was spent that the holder still counts as out. */
    public boolean hasNews() {
        return lots.stream().anyMatch(l -> !l.told && l.settled > 0);
    }

    public boolean tiny() {
        return lastBatch < 2;
    }

    /** Old lots are closed here first, then reported as given back: they can never be spent in both places. */
    public List<AdmissionTokens.Report> reports(Duration now) {
        List<AdmissionTokens.Report> out = new ArrayList<>();
        for (Iterator<Lot> i = lots.iterator(); i.hasNext(); ) {
            Lot l = i.next();
            if (now.compareTo(l.until) >= 0) {
                i.remove();
                continue;
            }
            boolean old = now.compareTo(l.until.minus(AdmissionTokens.LIFE).plus(GIVE_BACK)) >= 0;
            if (old || l.settled == l.granted) {
                l.closed = true;
            }
            if (!l.told || l.closed) {
                out.add(new AdmissionTokens.Report(l.grant, l.closed ? l.drawn : l.settled, l.closed));
                l.told = true;
            }
        }
        return out;
    }
}
