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

    private final Replica replica;
    private final TreeMap<Long, PendingProposal> pending = new TreeMap<>();
    private long commitIndex;
    private long appliedIndex;

    CommitTracker(Replica replica) {
        this.replica = replica;
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
            apply(replica.replicatedLog.get(appliedIndex));
        }
        replica.membership.onCommitted(commitIndex);
        replica.bootstrap.promoteIfMember();
    }

    private void apply(LogEntry item) {
        Object result = "";
        if (item.kind() == LogEntry.Kind.COMMAND) {
            try {
                result = replica.stateMachine.apply(
                        appliedIndex, replica.environment.codec().read(item.bytes(), Object.class));
            } catch (ServiceException failure) {
                result = failure;
            }
        }
        Object answer = result;
        Optional.ofNullable(pending.remove(appliedIndex)).ifPresent(pendingProposal -> {
            if (pendingProposal.term() == item.term()) {
                replica.shard.afterUnlock(() -> pendingProposal.sink().tryEmitValue(answer));
            } else {
                replica.shard.afterUnlock(() -> pendingProposal.sink().tryEmitError(outcomeUnknown()));
            }
        });
    }

    /** The lease is gone: what waits may still be committed by the next owner, or not. */
    void failPending() {
        pending.values()
                .forEach(pendingProposal ->
                        replica.shard.afterUnlock(() -> pendingProposal.sink().tryEmitError(outcomeUnknown())));
        pending.clear();
    }

    private ServiceException outcomeUnknown() {
        return new ServiceException(
                ErrorKind.UNKNOWN_OUTCOME,
                "The part " + replica.partition + " changed its owner before the commit was known.");
    }
}
