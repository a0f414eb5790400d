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
    private final Map<String, FollowerProgress> followers = new TreeMap<>();
    private final DepartingMembers departing = new DepartingMembers();
    private long firstOwn;
    /** The entry that changes the group and is not known to be committed; zero for none. */
    private long changeIndex;

    private boolean relinquished;

    Leader(Replica r) {
        this.r = r;
    }

    void begun() {
        followers.clear();
        departing.clear();
        relinquished = false;
        firstOwn = r.replicatedLog.lastIndex() + 1;
        changeIndex = r.groups.changing() ? firstOwn : 0;
        if (r.groups.changing()) {
            append(new LogEntry(r.term, LogEntry.Kind.NOTHING, new byte[0]));
        } else {
            append(new LogEntry(r.term, LogEntry.Kind.GROUP, r.env.codec().write(r.groups.committed())));
        }
    }

    void ended() {
        followers.clear();
        departing.clear();
    }

    /** When each follower was last sent something that it answered; those that never answered are left out. */
    Map<String, Duration> contacts() {
        Map<String, Duration> out = new TreeMap<>();
        followers.forEach((node, f) -> {
            if (!f.confirmed.isZero()) {
                out.put(node, f.confirmed);
            }
        });
        return out;
    }

    boolean mayAct() {
        return leaseRuns() && r.progress.commit() >= firstOwn;
    }

    boolean leaseRuns() {
        return !relinquished && r.now().compareTo(leaseEnd()) < 0;
    }

    /** Counted from the sending of the latest renewal that a majority has confirmed. */
    Duration leaseEnd() {
        List<Duration> sent = new ArrayList<>(
                followers.values().stream().map(f -> f.confirmed).toList());
        sent.add(r.now());
        sent.sort(Comparator.reverseOrder());
        for (Duration t : sent) {
            Map<String, String> agreeing = new TreeMap<>(Map.of(r.env.self(), r.identity));
            followers.forEach((n, f) -> {
                if (f.confirmed.compareTo(t) >= 0 && !f.confirmed.isZero()) {
                    agreeing.put(n, f.identity);
                }
            });
            if (r.groups.majority(agreeing)) {
                return t.plus(r.env.timing().ownLease());
            }
        }
        return Duration.ZERO;
    }

    void append(LogEntry item) {
        r.store.append(List.of(item), this::count);
        followers()
                .forEach(n -> followers
                        .computeIfAbsent(n, k -> new FollowerProgress(r, this, k))
                        .send(false));
    }

    /** The first index that a follower on its way from a snapshot still needs, or the given one. */
    long logNeededFrom(long otherwise) {
        return followers.values().stream()
                .flatMap(f -> f.needsLogFrom().stream())
                .mapToLong(Long::longValue)
                .reduce(otherwise, Math::min);
    }

    /** The group and those that are to join it. */
    private Set<String> followers() {
        Set<String> all = new TreeSet<>(r.groups.membersBut(r.env.self()));
        r.wanted.stream().filter(w -> !w.equals(r.env.self())).forEach(all::add);
        all.addAll(departing.untold(followers, r.now().minus(r.env.timing().lease())));
        return all;
    }

    /** Committed is what a majority has synced, from the first entry of the own term on. */
    void count() {
        if (r.phase != Phase.OWNING) {
            return;
        }
        List<Long> matches =
                new ArrayList<>(followers.values().stream().map(f -> f.match).toList());
        matches.add(r.store.synced());
        matches.sort(Comparator.reverseOrder());
        for (long m : matches) {
            Map<String, String> agreeing = new TreeMap<>();
            if (r.store.synced() >= m) {
                agreeing.put(r.env.self(), r.identity);
            }
            followers.forEach((n, f) -> {
                if (f.match >= m) {
                    agreeing.put(n, f.identity);
                }
            });
            if (m >= firstOwn && r.groups.majority(agreeing)) {
                r.progress.commitTo(m);
                confirmChange();
                return;
            }
        }
    }

    /** A committed change is appended again: whoever holds that entry knows of the commit, also after a restart. design 6.9 */
    private void confirmChange() {
        if (changeIndex == 0 || r.progress.commit() < changeIndex) {
            return;
        }
        changeIndex = 0;
        Map<String, String> members = r.groups.committed();
        Set<String> staying = new TreeSet<>(members.keySet());
        staying.addAll(r.wanted);
        departing.addAllBut(staying, followers.keySet(), r.replicatedLog.lastIndex() + 1, r.now());
        append(new LogEntry(r.term, LogEntry.Kind.GROUP, r.env.codec().write(members)));
    }

    /** No change is under way, and each other member was brought up to date under the identity that counts. */
    boolean settled() {
        return !r.groups.changing()
                && r.groups.committed().entrySet().stream()
                        .allMatch(member -> member.getKey().equals(r.env.self())
                                || followers.containsKey(member.getKey())
                                        && followers.get(member.getKey()).upToDateAs(member.getValue()));
    }

    void look() {
        Set<String> now = followers();
        followers.keySet().retainAll(now);
        now.forEach(n -> followers
                .computeIfAbsent(n, k -> new FollowerProgress(r, this, k))
                .send(true));
        if (!r.groups.latest().containsKey(r.env.self()) && !r.groups.changing()) {
            stepDown();
        } else if (r.now().compareTo(leaseEnd().plus(r.env.timing().lease())) > 0
                && r.now().compareTo(begunAt().plus(r.env.timing().lease())) > 0) {
            r.become(Phase.FOLLOWING, "the claim lapsed");
        } else if (mayAct() && !r.groups.changing()) {
            changeMembership();
        }
    }

    /** Removed from its group: another member takes over at once, or the others elect one. */
    private void stepDown() {
        if (!relinquished && !successor().map(this::transferLeadership).orElse(false)) {
            r.become(Phase.FOLLOWING, "no longer a member");
        }
    }

    private Duration begunAt() {
        return followers.values().stream()
                .map(f -> f.since)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** One change at a time. design 5.6 */
    private void changeMembership() {
        MembershipChange.next(r.groups.committed(), r.wanted, followers).ifPresent(change -> {
            Replica.LOG.info("keeper: {} seats {} in its group.", r.part, change.joining());
            changeIndex = r.replicatedLog.lastIndex() + 1;
            append(new LogEntry(r.term, LogEntry.Kind.GROUP, r.env.codec().write(change.members())));
        });
    }

    Optional<String> successor() {
        return followers.entrySet().stream()
                .filter(e -> e.getValue().identity.equals(r.groups.committed().get(e.getKey())))
                .filter(e -> e.getValue().willing && e.getValue().match >= r.replicatedLog.lastIndex())
                .map(Map.Entry::getKey)
                .min(Comparator.comparingInt(n -> r.wanted.contains(n) ? r.wanted.indexOf(n) : Integer.MAX_VALUE));
    }

    /** The lease is given up first; only then may the successor stand. */
    boolean transferLeadership(String to) {
        FollowerProgress f = followers.get(to);
        if (f == null || f.match < r.replicatedLog.lastIndex() || !mayAct() || r.groups.changing()) {
            return false;
        }
        relinquished = true;
        long term = r.term;
        r.shard.leave(() -> r.env.rpc()
                .ask(
                        to,
                        new Messages.Stand(r.part, term),
                        Messages.Ok.class,
                        r.env.timing().ask())
                .subscribe(ok -> {}, e -> {}));
        r.env.schedules()
                .after(
                        r.env.timing().ask(),
                        () -> r.shard.run(() -> {
                            if (r.phase == Phase.OWNING && r.term == term) {
                                r.become(Phase.FOLLOWING, "handed over");
                            }
                        }));
        return true;
    }
}
