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
    private static final Duration RETURN_BEFORE_EXPIRY =
            TokenMessages.TOKEN_LIFETIME.multipliedBy(7).dividedBy(10);

    /** One drawn pass; dead after its end. */
    public record AdmissionToken(long grant, Duration until) {}

    private static final class TokenBatch {
        final long grant;
        final Duration until;
        final int granted;
        int drawn;
        int settled;
        boolean closed;
        boolean reported;

        TokenBatch(long grant, int granted, Duration until) {
            this.grant = grant;
            this.granted = granted;
            this.until = until;
        }

        int left(Duration now) {
            return closed || now.compareTo(until) >= 0 ? 0 : granted - drawn;
        }
    }

    private final Deque<TokenBatch> batches = new ArrayDeque<>();
    private int lastBatch;

    public int left(Duration now) {
        return batches.stream().mapToInt(l -> l.left(now)).sum();
    }

    public Optional<AdmissionToken> take(Duration now) {
        for (TokenBatch l : batches) {
            if (l.left(now) > 0) {
                l.drawn++;
                return Optional.of(new AdmissionToken(l.grant, l.until));
            }
        }
        return Optional.empty();
    }

    private Optional<TokenBatch> inUse(AdmissionToken p) {
        return batches.stream()
                .filter(l -> l.grant == p.grant() && !l.closed && l.drawn > l.settled)
                .findFirst();
    }

    /** A pass drawn for work that was definitely refused is spendable again while it lives. */
    public void returnToken(AdmissionToken p) {
        inUse(p).ifPresent(l -> l.drawn--);
    }

    /** Only now is the pass reported as spent; a report can so never be taken back. */
    public void markSpent(AdmissionToken p) {
        inUse(p).ifPresent(l -> {
            l.settled++;
            l.reported = false;
        });
    }

    /** Life counts from when the pass was first asked for. */
    public void onGranted(long grant, int n, Duration asked, Duration life, Duration now) {
        lastBatch = n;
        Duration until = asked.plus(life);
        if (n > 0 && until.compareTo(now) > 0) {
            batches.add(new TokenBatch(grant, n, until));
        }
    }

    /** Ahead of need: below half a batch; a batch of one is asked for only on demand. */
    public boolean isLow(Duration now) {
        int left = left(now);
        return left == 0 || (lastBatch >= 2 && left * 2 <= lastBatch);
    }

    /** Something was spent that the holder still counts as out. */
    public boolean hasUnreportedUsage() {
        return batches.stream().anyMatch(l -> !l.reported && l.settled > 0);
    }

    public boolean isTiny() {
        return lastBatch < 2;
    }

    /** Old lots are closed here first, then reported as given back: they can never be spent in both places. */
    public List<TokenMessages.UsageReport> reports(Duration now) {
        List<TokenMessages.UsageReport> out = new ArrayList<>();
        for (Iterator<TokenBatch> i = batches.iterator(); i.hasNext(); ) {
            TokenBatch l = i.next();
            if (now.compareTo(l.until) >= 0) {
                i.remove();
                continue;
            }
            boolean old =
                    now.compareTo(l.until.minus(TokenMessages.TOKEN_LIFETIME).plus(RETURN_BEFORE_EXPIRY)) >= 0;
            if (old || l.settled == l.granted) {
                l.closed = true;
            }
            if (!l.reported || l.closed) {
                out.add(new TokenMessages.UsageReport(l.grant, l.closed ? l.drawn : l.settled, l.closed));
                l.reported = true;
            }
        }
        return out;
    }
}
