/**
 * Replication of one partition: a replicated log with terms, a leader under a lease, snapshots and changes of members.
 *
 * <p>A proposal's way: {@code Replica.propose} on the leader, {@code Leader.append} to the log in memory and on disk,
 * {@code LogAppender} to each follower, {@code AppendEntriesHandler} there, {@code Leader.advanceCommit} once a
 * majority has synced it, {@code CommitTracker} applies it to the {@code StateMachine} and completes the proposal.
 * Everything of a replica runs on its shard; what leaves the replica (calls, completed results) runs after the shard's
 * lock is free. Why it is safe: docs/design.md, section 5.
 */
package org.woadvale.common.replication;
