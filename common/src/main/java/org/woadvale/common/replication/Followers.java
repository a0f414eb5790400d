package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/** The log appenders of a leader, one for each node that it sends to. */
final class Followers {
    private final Function<String, LogAppender> newAppender;
    private final Map<String, LogAppender> appenders = new TreeMap<>();

    Followers(Function<String, LogAppender> newAppender) {
        this.newAppender = newAppender;
    }

    void clear() {
        appenders.clear();
    }

    void retain(Set<String> nodes) {
        appenders.keySet().retainAll(nodes);
    }

    /** The appender of a node, created on first use. */
    LogAppender appender(String node) {
        return appenders.computeIfAbsent(node, newAppender);
    }

    Collection<LogAppender> appenders() {
        return appenders.values();
    }

    Set<String> nodes() {
        return appenders.keySet();
    }

    Optional<FollowerProgress> progress(String node) {
        return Optional.ofNullable(appenders.get(node)).map(LogAppender::progress);
    }

    /** The progress of each follower, by node. */
    Map<String, FollowerProgress> progress() {
        Map<String, FollowerProgress> progress = new TreeMap<>();
        appenders.forEach((node, appender) -> progress.put(node, appender.progress()));
        return progress;
    }

    /** The identities, by node, of the followers that satisfy the condition: used to count a majority. */
    Map<String, String> identitiesWhere(Predicate<FollowerProgress> condition) {
        Map<String, String> identities = new TreeMap<>();
        appenders.forEach((node, appender) -> {
            if (condition.test(appender.progress())) {
                identities.put(node, appender.progress().identity());
            }
        });
        return identities;
    }

    /**
     * When the latest answered request was sent to each follower, by node; followers that never responded are left out.
     */
    Map<String, Duration> contacts() {
        Map<String, Duration> contacts = new TreeMap<>();
        appenders.forEach((node, appender) -> {
            if (!appender.progress().lastContact().isZero()) {
                contacts.put(node, appender.progress().lastContact());
            }
        });
        return contacts;
    }

    /** The earliest time at which the leader began to send to one of the followers; zero if there is none. */
    Duration replicatingSince() {
        return appenders.values().stream()
                .map(appender -> appender.progress().replicatingSince())
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }
}
