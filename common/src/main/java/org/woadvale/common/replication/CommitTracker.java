package org.woadvale.common.replication;

import java.util.TreeMap;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Applies committed entries to the state machine and completes the proposals that wait for them. */
final class CommitTracker<C, R> {
    private record PendingProposal<R>(long term, Sinks.One<R> sink) {}

    private final ReplicaState state;
    private final StateMachine<C, R> stateMachine;
    private final TreeMap<Long, PendingProposal<R>> pending = new TreeMap<>();
    private Runnable onAdvance = () -> {};
    private long commitIndex;
    private long appliedIndex;

    CommitTracker(ReplicaState state, StateMachine<C, R> stateMachine) {
        this.state = state;
        this.stateMachine = stateMachine;
    }

    /** The task runs after each advance of the commit index. */
    void onAdvance(Runnable task) {
        onAdvance = task;
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /** Bytes of the log entries that are not applied yet. */
    long unappliedBytes() {
        return state.log().bytesAfter(appliedIndex);
    }

    /** Completes with the result of the command proposed at an index in a term. */
    Mono<R> awaitCommit(long index, long term) {
        Sinks.One<R> sink = Sinks.one();
        pending.put(index, new PendingProposal<>(term, sink));
        return sink.asMono();
    }

    /** Sets the applied index after the state machine was restored from a snapshot up to the index. */
    void resetTo(long index) {
        commitIndex = Math.max(commitIndex, index);
        appliedIndex = index;
    }

    /** Applies all entries up to the index; an earlier index has no effect. */
    void advanceTo(long index) {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            apply(state.log().get(appliedIndex));
        }
        state.membership().onCommitted(commitIndex);
        onAdvance.run();
    }

    private void apply(LogEntry entry) {
        PendingProposal<R> proposal = pending.remove(appliedIndex);
        if (proposal != null && proposal.term() != entry.term()) {
            fail(proposal, outcomeUnknown());
            proposal = null;
        }
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            applyCommand(entry, proposal);
        }
    }

    private void applyCommand(LogEntry entry, PendingProposal<R> proposal) {
        try {
            C command = state.environment().codec().read(entry.bytes(), stateMachine.commandType());
            R result = stateMachine.apply(appliedIndex, command);
            if (proposal != null) {
                state.shard().afterUnlock(() -> proposal.sink().tryEmitValue(result));
            }
        } catch (ServiceException e) {
            if (proposal != null) {
                fail(proposal, e);
            }
        }
    }

    /** Fails all pending proposals after leadership was lost: the next leader may or may not commit them. */
    void failPending() {
        pending.values().forEach(proposal -> fail(proposal, outcomeUnknown()));
        pending.clear();
    }

    private void fail(PendingProposal<R> proposal, ServiceException failure) {
        state.shard().afterUnlock(() -> proposal.sink().tryEmitError(failure));
    }

    private ServiceException outcomeUnknown() {
        return new OutcomeUnknownException(
                "The partition " + state.partition() + " changed its leader before the commit was known.");
    }
}
