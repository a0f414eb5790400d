package org.woadvale.common.replication;

import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** What is committed and applied, and who waits for it. */
final class CommitTracker {
    private record Waiting(long term, Sinks.One<Object> sink) {}

    private final Replica r;
    private final TreeMap<Long, Waiting> waiting = new TreeMap<>();
    private long commit;
    private long applied;

    CommitTracker(Replica r) {
        this.r = r;
    }

    long commit() {
        return commit;
    }

    long applied() {
        return applied;
    }

    Mono<Object> expect(long index, long term) {
        Sinks.One<Object> sink = Sinks.one();
        waiting.put(index, new Waiting(term, sink));
        return sink.asMono();
    }

    void restored(long index) {
        commit = Math.max(commit, index);
        applied = index;
    }

    void commitTo(long index) {
        if (index <= commit) {
            return;
        }
        commit = index;
        while (applied < commit) {
            applied++;
            apply(r.replicatedLog.get(applied));
        }
        r.groups.committedTo(commit);
        r.bootstrap.considerPromotion();
    }

    private void apply(LogEntry item) {
        Object result = "";
        if (item.kind() == LogEntry.Kind.COMMAND) {
            try {
                result = r.machine.apply(applied, r.env.codec().read(item.bytes(), Object.class));
            } catch (ServiceException e) {
                result = e;
            }
        }
        Object answer = result;
        Optional.ofNullable(waiting.remove(applied)).ifPresent(w -> {
            if (w.term() == item.term()) {
                r.shard.leave(() -> w.sink().tryEmitValue(answer));
            } else {
                r.shard.leave(() -> w.sink().tryEmitError(unknown()));
            }
        });
    }

    /** The lease is gone: what waits may still be committed by the next owner, or not. */
    void forsake() {
        waiting.values().forEach(w -> r.shard.leave(() -> w.sink().tryEmitError(unknown())));
        waiting.clear();
    }

    private ServiceException unknown() {
        return new ServiceException(
                ErrorKind.UNKNOWN_OUTCOME, "The part " + r.part + " changed its owner before the commit was known.");
    }
}
