package org.woadvale.common.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Replicating, counting commits and holding the lease: design 5.1. */
final class Leader {
    private final Replica replica;
    private final Map<String, LogAppender> followers = new TreeMap<>();
    private final DepartingMembers departingMembers = new DepartingMembers();
    private long firstIndexOfTerm;
    /** The entry that changes the group and is not known to be committed; zero for none. */
    private long membershipChangeIndex;

    private boolean relinquished;

    Leader(Replica replica) {
        this.replica = replica;
    }

    void onElected() {
        followers.clear();
        departingMembers.clear();
        relinquished = false;
        firstIndexOfTerm = replica.replicatedLog.lastIndex() + 1;
        membershipChangeIndex = replica.membership.isChanging() ? firstIndexOfTerm : 0;
        if (replica.membership.isChanging()) {
            append(new LogEntry(replica.term, LogEntry.Kind.NO_OP, new byte[0]));
        } else {
            append(new LogEntry(
                    replica.term,
                    LogEntry.Kind.MEMBERSHIP,
                    replica.environment.codec().write(replica.membership.committed())));
        }
    }

    void onDeposed() {
        followers.clear();
        departingMembers.clear();
    }

    /** When each follower was last sent something that it answered; those that never answered are left out. */
    Map<String, Duration> followerContacts() {
        Map<String, Duration> out = new TreeMap<>();
        followers.forEach((node, appender) -> {
            if (!appender.lastContact.isZero()) {
                out.put(node, appender.lastContact);
            }
        });
        return out;
    }

    boolean isActive() {
        return leaseRunning() && replica.commits.commitIndex() >= firstIndexOfTerm;
    }

    boolean leaseRunning() {
        return !relinquished && replica.now().compareTo(leaseEnd()) < 0;
    }

    /** Counted from the sending of the latest renewal that a majority has confirmed. */
    Duration leaseEnd() {
        List<Duration> sent = new ArrayList<>(followers.values().stream()
                .map(appender -> appender.lastContact)
                .toList());
        sent.add(replica.now());
        sent.sort(Comparator.reverseOrder());
        for (Duration t : sent) {
            Map<String, String> agreeing = new TreeMap<>(Map.of(replica.environment.self(), replica.identity));
            followers.forEach((n, appender) -> {
                if (appender.lastContact.compareTo(t) >= 0 && !appender.lastContact.isZero()) {
                    agreeing.put(n, appender.identity);
                }
            });
            if (replica.membership.hasMajority(agreeing)) {
                return t.plus(replica.environment.timing().leaderLease());
            }
        }
        return Duration.ZERO;
    }

    void append(LogEntry item) {
        replica.storage.append(List.of(item), this::advanceCommit);
        followerNodes()
                .forEach(n -> followers
                        .computeIfAbsent(n, k -> new LogAppender(replica, this, k))
                        .send(false));
    }

    /** The first index that a follower on its way from a snapshot still needs, or the given one. */
    long firstIndexNeeded(long otherwise) {
        return followers.values().stream()
                .flatMap(appender -> appender.firstIndexNeeded().stream())
                .mapToLong(Long::longValue)
                .reduce(otherwise, Math::min);
    }

    /** The group and those that are to join it. */
    private Set<String> followerNodes() {
        Set<String> all = new TreeSet<>(replica.membership.membersExcept(replica.environment.self()));
        replica.desiredMembers.stream()
                .filter(w -> !w.equals(replica.environment.self()))
                .forEach(all::add);
        all.addAll(departingMembers.notNotified(
                followers, replica.now().minus(replica.environment.timing().lease())));
        return all;
    }

    /** Committed is what a majority has synced, from the first entry of the own term on. */
    void advanceCommit() {
        if (replica.role != Role.LEADER) {
            return;
        }
        List<Long> matches = new ArrayList<>(
                followers.values().stream().map(appender -> appender.matchIndex).toList());
        matches.add(replica.storage.syncedIndex());
        matches.sort(Comparator.reverseOrder());
        for (long m : matches) {
            Map<String, String> agreeing = new TreeMap<>();
            if (replica.storage.syncedIndex() >= m) {
                agreeing.put(replica.environment.self(), replica.identity);
            }
            followers.forEach((n, appender) -> {
                if (appender.matchIndex >= m) {
                    agreeing.put(n, appender.identity);
                }
            });
            if (m >= firstIndexOfTerm && replica.membership.hasMajority(agreeing)) {
                replica.commits.advanceTo(m);
                confirmChange();
                return;
            }
        }
    }

    /** A committed change is appended again: whoever holds that entry knows of the commit, also after a restart. design 6.9 */
    private void confirmChange() {
        if (membershipChangeIndex == 0 || replica.commits.commitIndex() < membershipChangeIndex) {
            return;
        }
        membershipChangeIndex = 0;
        Map<String, String> members = replica.membership.committed();
        Set<String> staying = new TreeSet<>(members.keySet());
        staying.addAll(replica.desiredMembers);
        departingMembers.addAllBut(staying, followers.keySet(), replica.replicatedLog.lastIndex() + 1, replica.now());
        append(new LogEntry(
                replica.term,
                LogEntry.Kind.MEMBERSHIP,
                replica.environment.codec().write(members)));
    }

    /** No change is under way, and each other member was brought up to date under the identity that counts. */
    boolean stable() {
        return !replica.membership.isChanging()
                && replica.membership.committed().entrySet().stream()
                        .allMatch(member -> member.getKey().equals(replica.environment.self())
                                || followers.containsKey(member.getKey())
                                        && followers.get(member.getKey()).upToDateAs(member.getValue()));
    }

    void onTick() {
        Set<String> now = followerNodes();
        followers.keySet().retainAll(now);
        now.forEach(n -> followers
                .computeIfAbsent(n, k -> new LogAppender(replica, this, k))
                .send(true));
        if (!replica.membership.latest().containsKey(replica.environment.self()) && !replica.membership.isChanging()) {
            stepDown();
        } else if (replica.now()
                                .compareTo(leaseEnd()
                                        .plus(replica.environment.timing().lease()))
                        > 0
                && replica.now()
                                .compareTo(followedSince()
                                        .plus(replica.environment.timing().lease()))
                        > 0) {
            replica.transitionTo(Role.FOLLOWER, "the lease expired");
        } else if (isActive() && !replica.membership.isChanging()) {
            changeMembership();
        }
    }

    /** Removed from its group: another member takes over at once, or the others elect one. */
    private void stepDown() {
        if (!relinquished && !successor().map(this::transferLeadership).orElse(false)) {
            replica.transitionTo(Role.FOLLOWER, "no longer a member");
        }
    }

    private Duration followedSince() {
        return followers.values().stream()
                .map(appender -> appender.startedAt)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** One change at a time. design 5.6 */
    private void changeMembership() {
        MembershipChange.next(replica.membership.committed(), replica.desiredMembers, followers)
                .ifPresent(change -> {
                    Replica.LOG.info("Partition {} adds {} to its members.", replica.partition, change.joining());
                    membershipChangeIndex = replica.replicatedLog.lastIndex() + 1;
                    append(new LogEntry(
                            replica.term,
                            LogEntry.Kind.MEMBERSHIP,
                            replica.environment.codec().write(change.members())));
                });
    }

    Optional<String> successor() {
        return followers.entrySet().stream()
                .filter(entry -> entry.getValue()
                        .identity
                        .equals(replica.membership.committed().get(entry.getKey())))
                .filter(entry ->
                        entry.getValue().electable && entry.getValue().matchIndex >= replica.replicatedLog.lastIndex())
                .map(Map.Entry::getKey)
                .min(Comparator.comparingInt(n ->
                        replica.desiredMembers.contains(n) ? replica.desiredMembers.indexOf(n) : Integer.MAX_VALUE));
    }

    /** The lease is given up first; only then may the successor stand. */
    boolean transferLeadership(String to) {
        LogAppender appender = followers.get(to);
        if (appender == null
                || appender.matchIndex < replica.replicatedLog.lastIndex()
                || !isActive()
                || replica.membership.isChanging()) {
            return false;
        }
        relinquished = true;
        long term = replica.term;
        replica.shard.afterUnlock(() -> replica.environment
                .rpc()
                .call(
                        to,
                        new ReplicationMessages.StartElectionRequest(replica.partition, term),
                        ReplicationMessages.Acknowledgement.class,
                        replica.environment.timing().requestTimeout())
                .subscribe(ok -> {}, e -> {}));
        replica.environment
                .timers()
                .after(
                        replica.environment.timing().requestTimeout(),
                        () -> replica.shard.run(() -> {
                            if (replica.role == Role.LEADER && replica.term == term) {
                                replica.transitionTo(Role.FOLLOWER, "leadership transferred");
                            }
                        }));
        return true;
    }
}
