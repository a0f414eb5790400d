package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** The local bucket of one node for one shared bucket: drawn without a call. (docs/design.md, section 8.3) */
public final class LocalBucket {
    private static final int TENTHS = 10;
    private static final int RETURN_AFTER_TENTHS = 7;
    private static final Duration RETURN_BEFORE_EXPIRY =
            TokenMessages.TOKEN_LIFETIME.multipliedBy(RETURN_AFTER_TENTHS).dividedBy(TENTHS);

    /** One drawn pass; dead after its end. */
    public record AdmissionToken(long grant, Duration until) {}

    private static final class TokenBatch {
        final long grant;
        final Duration until;
        final int granted;
        int drawn;
        int spent;
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

    /** Tokens that may be taken right now. */
    public int available(Duration now) {
        return batches.stream().mapToInt(batch -> batch.left(now)).sum();
    }

    /** One token, if there is any. */
    public Optional<AdmissionToken> take(Duration now) {
        for (TokenBatch batch : batches) {
            if (batch.left(now) > 0) {
                batch.drawn++;
                return Optional.of(new AdmissionToken(batch.grant, batch.until));
            }
        }
        return Optional.empty();
    }

    private Optional<TokenBatch> inUse(AdmissionToken token) {
        return batches.stream()
                .filter(batch -> batch.grant == token.grant() && !batch.closed && batch.drawn > batch.spent)
                .findFirst();
    }

    /** A pass drawn for work that was definitely refused is spendable again while it lives. */
    public void returnToken(AdmissionToken token) {
        inUse(token).ifPresent(batch -> batch.drawn--);
    }

    /** Only now is the token reported as spent; a report can so never be taken back. */
    public void markSpent(AdmissionToken token) {
        inUse(token).ifPresent(batch -> {
            batch.spent++;
            batch.reported = false;
        });
    }

    /** Life counts from when the token was first asked for. */
    public void onGranted(long grant, int tokens, Duration asked, Duration lifetime, Duration now) {
        lastBatch = tokens;
        Duration until = asked.plus(lifetime);
        if (tokens > 0 && until.compareTo(now) > 0) {
            batches.add(new TokenBatch(grant, tokens, until));
        }
    }

    /** Ahead of need: below half a batch; a batch of one is asked for only on demand. */
    public boolean isLow(Duration now) {
        int left = available(now);
        return left == 0 || (lastBatch >= 2 && left * 2 <= lastBatch);
    }

    /** Something was spent that the owner still counts as outstanding. */
    public boolean hasUnreportedUsage() {
        return batches.stream().anyMatch(batch -> !batch.reported && batch.spent > 0);
    }

    /** Whether batches are so small that each token counts. */
    public boolean hasSingleTokenBatches() {
        return lastBatch < 2;
    }

    /** Old lots are closed here first, then reported as given back: they can never be spent in both places. */
    public List<TokenMessages.UsageReport> reports(Duration now) {
        List<TokenMessages.UsageReport> out = new ArrayList<>();
        for (Iterator<TokenBatch> iterator = batches.iterator(); iterator.hasNext(); ) {
            TokenBatch batch = iterator.next();
            if (now.compareTo(batch.until) >= 0) {
                iterator.remove();
                continue;
            }
            boolean old = now.compareTo(
                            batch.until.minus(TokenMessages.TOKEN_LIFETIME).plus(RETURN_BEFORE_EXPIRY))
                    >= 0;
            if (old || batch.spent == batch.granted) {
                batch.closed = true;
            }
            if (!batch.reported || batch.closed) {
                out.add(new TokenMessages.UsageReport(
                        batch.grant, batch.closed ? batch.drawn : batch.spent, batch.closed));
                batch.reported = true;
            }
        }
        return out;
    }
}
