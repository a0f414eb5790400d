package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** The tokens of one shared bucket that a node has in stock, to take without a call. (docs/design.md, section 8.3) */
public final class LocalBucket {
    private static final int TENTHS = 10;
    private static final int RETURN_AFTER_TENTHS = 7;
    /** The age at which a batch is closed and its remaining tokens are returned to the owner. */
    private static final Duration RETURN_AFTER =
            TokenMessages.TOKEN_LIFETIME.multipliedBy(RETURN_AFTER_TENTHS).dividedBy(TENTHS);

    /** A token that was taken; it expires at {@code until}. */
    public record AdmissionToken(long grant, Duration until) {}

    private static final class TokenBatch {
        final long grant;
        final Duration until;
        final int granted;
        int taken;
        int spent;
        boolean closed;
        boolean reported;

        TokenBatch(long grant, int granted, Duration until) {
            this.grant = grant;
            this.granted = granted;
            this.until = until;
        }

        int available(Duration now) {
            return closed || now.compareTo(until) >= 0 ? 0 : granted - taken;
        }
    }

    private final Deque<TokenBatch> batches = new ArrayDeque<>();
    private int lastBatchSize;

    /** Returns the number of tokens that can be taken now. */
    public int available(Duration now) {
        return batches.stream().mapToInt(batch -> batch.available(now)).sum();
    }

    /** Takes one token, if there is any. */
    public Optional<AdmissionToken> take(Duration now) {
        for (TokenBatch batch : batches) {
            if (batch.available(now) > 0) {
                batch.taken++;
                return Optional.of(new AdmissionToken(batch.grant, batch.until));
            }
        }
        return Optional.empty();
    }

    private Optional<TokenBatch> findBatch(AdmissionToken token) {
        return batches.stream()
                .filter(batch -> batch.grant == token.grant() && !batch.closed && batch.taken > batch.spent)
                .findFirst();
    }

    /** Returns a token whose operation was definitely rejected; it can be taken again until it expires. */
    public void returnToken(AdmissionToken token) {
        findBatch(token).ifPresent(batch -> batch.taken--);
    }

    /** Marks a token as spent. Only then is it reported as spent, so no report has to be revoked. */
    public void markSpent(AdmissionToken token) {
        findBatch(token).ifPresent(batch -> {
            batch.spent++;
            batch.reported = false;
        });
    }

    /** Adds granted tokens; their lifetime counts from when they were first requested. */
    public void onGranted(long grant, int tokens, Duration requestedAt, Duration lifetime, Duration now) {
        lastBatchSize = tokens;
        Duration until = requestedAt.plus(lifetime);
        if (tokens > 0 && until.compareTo(now) > 0) {
            batches.add(new TokenBatch(grant, tokens, until));
        }
    }

    /** Whether to request more tokens ahead of need: at half a batch or less; batches of one only when empty. */
    public boolean isLow(Duration now) {
        int left = available(now);
        return left == 0 || (lastBatchSize >= 2 && left * 2 <= lastBatchSize);
    }

    /** Whether tokens were spent that the owner still counts as outstanding. */
    public boolean hasUnreportedUsage() {
        return batches.stream().anyMatch(batch -> !batch.reported && batch.spent > 0);
    }

    /** Whether the last batch had at most one token. */
    public boolean hasSingleTokenBatches() {
        return lastBatchSize < 2;
    }

    /**
     * Returns the usage reports that are due. Old batches are closed here before they are reported as returned, so that no
     * token can be spent both here and by the next requester.
     */
    public List<TokenMessages.UsageReport> reports(Duration now) {
        List<TokenMessages.UsageReport> reports = new ArrayList<>();
        for (Iterator<TokenBatch> iterator = batches.iterator(); iterator.hasNext(); ) {
            TokenBatch batch = iterator.next();
            if (now.compareTo(batch.until) >= 0) {
                iterator.remove();
                continue;
            }
            boolean old = now.compareTo(
                            batch.until.minus(TokenMessages.TOKEN_LIFETIME).plus(RETURN_AFTER))
                    >= 0;
            if (old || batch.spent == batch.granted) {
                batch.closed = true;
            }
            if (!batch.reported || batch.closed) {
                reports.add(new TokenMessages.UsageReport(
                        batch.grant, batch.closed ? batch.taken : batch.spent, batch.closed));
                batch.reported = true;
            }
        }
        return reports;
    }
}
