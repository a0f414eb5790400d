/**
 * Replication of one partition: a replicated log with terms, a leader under a lease, snapshots and membership changes.
 *
 * <p>The path of a proposal: {@code Replica.propose} on the leader, {@code Leader.append} to the log in memory and on
 * disk, {@code LogAppender} to each follower, {@code AppendEntriesHandler} there, {@code Leader.advanceCommit} once a
 * majority has synced it, {@code CommitTracker} applies it to the {@code StateMachine} and completes the proposal. All
 * work of a replica runs on its shard; its outgoing calls and completed results run after the shard's lock is released.
 * The safety argument is in docs/design.md, section 5.
 */
package org.woadvale.common.replication;
