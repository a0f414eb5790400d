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
    private final Replica r;
    private final Map<String, LogAppender> followers = new TreeMap<>();
    private final DepartingMembers departingMembers = new DepartingMembers();
    private long firstIndexOfTerm;
    /** The entry that changes the group and is not known to be committed; zero for none. */
    private long membershipChangeIndex;

    private boolean relinquished;

    Leader(Replica r) {
        this.r = r;
    }

    void onElected() {
        followers.clear();
        departingMembers.clear();
        relinquished = false;
        firstIndexOfTerm = r.replicatedLog.lastIndex() + 1;
        membershipChangeIndex = r.membership.isChanging() ? firstIndexOfTerm : 0;
        if (r.membership.isChanging()) {
            append(new LogEntry(r.term, LogEntry.Kind.NO_OP, new byte[0]));
        } else {
            append(new LogEntry(
                    r.term, LogEntry.Kind.MEMBERSHIP, r.environment.codec().write(r.membership.committed())));
        }
    }

    void onDeposed() {
        followers.clear();
        departingMembers.clear();
    }

    /** When each follower was last sent something that it answered; those that never answered are left out. */
    Map<String, Duration> followerContacts() {
        Map<String, Duration> out = new TreeMap<>();
        followers.forEach((node, f) -> {
            if (!f.lastContact.isZero()) {
                out.put(node, f.lastContact);
            }
        });
        return out;
    }

    boolean isActive() {
        return leaseRunning() && r.commits.commitIndex() >= firstIndexOfTerm;
    }

    boolean leaseRunning() {
        return !relinquished && r.now().compareTo(leaseEnd()) < 0;
    }

    /** Counted from the sending of the latest renewal that a majority has confirmed. */
    Duration leaseEnd() {
        List<Duration> sent = new ArrayList<>(
                followers.values().stream().map(f -> f.lastContact).toList());
        sent.add(r.now());
        sent.sort(Comparator.reverseOrder());
        for (Duration t : sent) {
            Map<String, String> agreeing = new TreeMap<>(Map.of(r.environment.self(), r.identity));
            followers.forEach((n, f) -> {
                if (f.lastContact.compareTo(t) >= 0 && !f.lastContact.isZero()) {
                    agreeing.put(n, f.identity);
                }
            });
            if (r.membership.hasMajority(agreeing)) {
                return t.plus(r.environment.timing().leaderLease());
            }
        }
        return Duration.ZERO;
    }

    void append(LogEntry item) {
        r.storage.append(List.of(item), this::advanceCommit);
        followerNodes()
                .forEach(n -> followers
                        .computeIfAbsent(n, k -> new LogAppender(r, this, k))
                        .send(false));
    }

    /** The first index that a follower on its way from a snapshot still needs, or the given one. */
    long firstIndexNeeded(long otherwise) {
        return followers.values().stream()
                .flatMap(f -> f.firstIndexNeeded().stream())
                .mapToLong(Long::longValue)
                .reduce(otherwise, Math::min);
    }

    /** The group and those that are to join it. */
    private Set<String> followerNodes() {
        Set<String> all = new TreeSet<>(r.membership.membersExcept(r.environment.self()));
        r.desiredMembers.stream().filter(w -> !w.equals(r.environment.self())).forEach(all::add);
        all.addAll(departingMembers.notNotified(
                followers, r.now().minus(r.environment.timing().lease())));
        return all;
    }

    /** Committed is what a majority has synced, from the first entry of the own term on. */
    void advanceCommit() {
        if (r.role != Role.LEADER) {
            return;
        }
        List<Long> matches = new ArrayList<>(
                followers.values().stream().map(f -> f.matchIndex).toList());
        matches.add(r.storage.syncedIndex());
        matches.sort(Comparator.reverseOrder());
        for (long m : matches) {
            Map<String, String> agreeing = new TreeMap<>();
            if (r.storage.syncedIndex() >= m) {
                agreeing.put(r.environment.self(), r.identity);
            }
            followers.forEach((n, f) -> {
                if (f.matchIndex >= m) {
                    agreeing.put(n, f.identity);
                }
            });
            if (m >= firstIndexOfTerm && r.membership.hasMajority(agreeing)) {
                r.commits.advanceTo(m);
                confirmChange();
                return;
            }
        }
    }

    /** A committed change is appended again: whoever holds that entry knows of the commit, also after a restart. design 6.9 */
    private void confirmChange() {
        if (membershipChangeIndex == 0 || r.commits.commitIndex() < membershipChangeIndex) {
            return;
        }
        membershipChangeIndex = 0;
        Map<String, String> members = r.membership.committed();
        Set<String> staying = new TreeSet<>(members.keySet());
        staying.addAll(r.desiredMembers);
        departingMembers.addAllBut(staying, followers.keySet(), r.replicatedLog.lastIndex() + 1, r.now());
        append(new LogEntry(
                r.term, LogEntry.Kind.MEMBERSHIP, r.environment.codec().write(members)));
    }

    /** No change is under way, and each other member was brought up to date under the identity that counts. */
    boolean stable() {
        return !r.membership.isChanging()
                && r.membership.committed().entrySet().stream()
                        .allMatch(member -> member.getKey().equals(r.environment.self())
                                || followers.containsKey(member.getKey())
                                        && followers.get(member.getKey()).upToDateAs(member.getValue()));
    }

    void onTick() {
        Set<String> now = followerNodes();
        followers.keySet().retainAll(now);
        now.forEach(n ->
                followers.computeIfAbsent(n, k -> new LogAppender(r, this, k)).send(true));
        if (!r.membership.latest().containsKey(r.environment.self()) && !r.membership.isChanging()) {
            stepDown();
        } else if (r.now().compareTo(leaseEnd().plus(r.environment.timing().lease())) > 0
                && r.now().compareTo(followedSince().plus(r.environment.timing().lease())) > 0) {
            r.transitionTo(Role.FOLLOWER, "the claim lapsed");
        } else if (isActive() && !r.membership.isChanging()) {
            changeMembership();
        }
    }

    /** Removed from its group: another member takes over at once, or the others elect one. */
    private void stepDown() {
        if (!relinquished && !successor().map(this::transferLeadership).orElse(false)) {
            r.transitionTo(Role.FOLLOWER, "no longer a member");
        }
    }

    private Duration followedSince() {
        return followers.values().stream()
                .map(f -> f.startedAt)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** One change at a time. design 5.6 */
    private void changeMembership() {
        MembershipChange.next(r.membership.committed(), r.desiredMembers, followers)
                .ifPresent(change -> {
                    Replica.LOG.info("keeper: {} seats {} in its group.", r.partition, change.joining());
                    membershipChangeIndex = r.replicatedLog.lastIndex() + 1;
                    append(new LogEntry(
                            r.term,
                            LogEntry.Kind.MEMBERSHIP,
                            r.environment.codec().write(change.members())));
                });
    }

    Optional<String> successor() {
        return followers.entrySet().stream()
                .filter(e ->
                        e.getValue().identity.equals(r.membership.committed().get(e.getKey())))
                .filter(e -> e.getValue().electable && e.getValue().matchIndex >= r.replicatedLog.lastIndex())
                .map(Map.Entry::getKey)
                .min(Comparator.comparingInt(
                        n -> r.desiredMembers.contains(n) ? r.desiredMembers.indexOf(n) : Integer.MAX_VALUE));
    }

    /** The lease is given up first; only then may the successor stand. */
    boolean transferLeadership(String to) {
        LogAppender f = followers.get(to);
        if (f == null || f.matchIndex < r.replicatedLog.lastIndex() || !isActive() || r.membership.isChanging()) {
            return false;
        }
        relinquished = true;
        long term = r.term;
        r.shard.afterUnlock(() -> r.environment
                .rpc()
                .call(
                        to,
                        new ReplicationMessages.StartElectionRequest(r.partition, term),
                        ReplicationMessages.Acknowledgement.class,
                        r.environment.timing().requestTimeout())
                .subscribe(ok -> {}, e -> {}));
        r.environment
                .timers()
                .after(
                        r.environment.timing().requestTimeout(),
                        () -> r.shard.run(() -> {
                            if (r.role == Role.LEADER && r.term == term) {
                                r.transitionTo(Role.FOLLOWER, "handed over");
                            }
                        }));
        return true;
    }
}
