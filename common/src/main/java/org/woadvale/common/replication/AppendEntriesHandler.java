package org.woadvale.common.replication;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesRequest;
import org.woadvale.common.replication.ReplicationMessages.AppendEntriesResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Handles the entries and heartbeats of the leader on a follower. */
final class AppendEntriesHandler {
    private final ReplicaState state;
    private final CommitTracker<?, ?> commits;
    private final ReplicaStorage storage;
    private final LeaderTracker leaderTracker;

    AppendEntriesHandler(
            ReplicaState state, CommitTracker<?, ?> commits, ReplicaStorage storage, LeaderTracker leaderTracker) {
        this.state = state;
        this.commits = commits;
        this.storage = storage;
        this.leaderTracker = leaderTracker;
    }

    /** Appends the entries and responds with the last index that matches the leader's log and is synced here. */
    Mono<AppendEntriesResponse> onAppendEntries(String from, AppendEntriesRequest request) {
        return leaderTracker.afterVoteStored(append(from, request));
    }

    private Mono<AppendEntriesResponse> append(String from, AppendEntriesRequest request) {
        if (!leaderTracker.accept(from, request.term())) {
            return Mono.just(response(false, 0));
        }
        ReplicatedLog log = state.log();
        long previous = request.prevIndex();
        if (previous > log.lastIndex()) {
            return Mono.just(response(false, log.lastIndex()));
        }
        if (log.contains(previous) && log.termAt(previous) != request.prevTerm()) {
            return Mono.just(response(false, Math.max(commits.commitIndex(), previous - 1)));
        }
        List<LogEntry> missing = truncateConflicts(request);
        long match = previous + request.entries().size();
        if (missing.isEmpty()) {
            advanceCommit(request, match);
            return Mono.just(response(true, Math.min(match, storage.syncedIndex())));
        }
        long term = state.term();
        Sinks.One<AppendEntriesResponse> sink = Sinks.one();
        storage.append(missing, () -> {
            boolean current = state.term() == term;
            AppendEntriesResponse response = response(current, current ? Math.min(match, storage.syncedIndex()) : 0);
            state.shard().afterUnlock(() -> sink.tryEmitValue(response));
        });
        advanceCommit(request, match);
        return sink.asMono();
    }

    /** Returns the entries that the log lacks, and drops the entries that conflict with them. */
    private List<LogEntry> truncateConflicts(AppendEntriesRequest request) {
        ReplicatedLog log = state.log();
        long index = request.prevIndex();
        List<LogEntry> missing = new ArrayList<>();
        for (LogEntry entry : request.entries()) {
            index++;
            boolean compacted = index <= log.baseIndex();
            boolean present = missing.isEmpty() && index <= log.lastIndex();
            if (compacted || present && log.termAt(index) == entry.term()) {
                continue;
            }
            if (present) {
                storage.truncateFrom(index);
            }
            missing.add(entry);
        }
        return missing;
    }

    private void advanceCommit(AppendEntriesRequest request, long match) {
        commits.advanceTo(
                Math.min(request.commitIndex(), Math.min(match, state.log().lastIndex())));
    }

    private AppendEntriesResponse response(boolean success, long matchIndex) {
        return new AppendEntriesResponse(state.term(), success, matchIndex, state.identity(), state.isElectable());
    }
}
