package org.woadvale.common.replication;

import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** What is committed and applied, and who waits for it. */
final class CommitTracker {
    private record PendingProposal(long term, Sinks.One<Object> sink) {}

    private final Replica r;
    private final TreeMap<Long, PendingProposal> pending = new TreeMap<>();
    private long commitIndex;
    private long appliedIndex;

    CommitTracker(Replica r) {
        this.r = r;
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    Mono<Object> awaitCommit(long index, long term) {
        Sinks.One<Object> sink = Sinks.one();
        pending.put(index, new PendingProposal(term, sink));
        return sink.asMono();
    }

    void resetTo(long index) {
        commitIndex = Math.max(commitIndex, index);
        appliedIndex = index;
    }

    void advanceTo(long index) {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            apply(r.replicatedLog.get(appliedIndex));
        }
        r.membership.onCommitted(commitIndex);
        r.bootstrap.promoteIfMember();
    }

    private void apply(LogEntry item) {
        Object result = "";
        if (item.kind() == LogEntry.Kind.COMMAND) {
            try {
                result =
                        r.stateMachine.apply(appliedIndex, r.environment.codec().read(item.bytes(), Object.class));
            } catch (ServiceException e) {
                result = e;
            }
        }
        Object answer = result;
        Optional.ofNullable(pending.remove(appliedIndex)).ifPresent(w -> {
            if (w.term() == item.term()) {
                r.shard.afterUnlock(() -> w.sink().tryEmitValue(answer));
            } else {
                r.shard.afterUnlock(() -> w.sink().tryEmitError(outcomeUnknown()));
            }
        });
    }

    /** The lease is gone: what waits may still be committed by the next owner, or not. */
    void failPending() {
        pending.values().forEach(w -> r.shard.afterUnlock(() -> w.sink().tryEmitError(outcomeUnknown())));
        pending.clear();
    }

    private ServiceException outcomeUnknown() {
        return new ServiceException(
                ErrorKind.UNKNOWN_OUTCOME,
                "The part " + r.partition + " changed its owner before the commit was known.");
    }
}
