package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that changes by operators and the platform take effect in time. */
final class OperatorChecks {
    private static final Duration KEY_REVOCATION_LIMIT = Duration.ofSeconds(5);
    private static final Duration APPLY_LIMIT = Duration.ofSeconds(3);
    /** Allowance for answers in transit, which cannot be recalled once they are sent. */
    private static final Duration ANSWER_TRANSIT = Duration.ofMillis(200);

    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(12);
    private final Observations observations;

    OperatorChecks(Observations observations) {
        this.observations = observations;
    }

    /** Uses the owner's acceptance time where it was observed, otherwise the time of sending. */
    List<String> withdrawnKeyUsed() {
        Map<String, Duration> accepted = new HashMap<>();
        observations.copy(observations.shown).stream()
                .filter(shown -> !shown.accepted().isNegative())
                .forEach(shown -> accepted.put(shown.handle(), shown.accepted()));
        List<String> out = new ArrayList<>();
        observations.copy(observations.keys).forEach(keyWithdrawn -> {
            Duration end = keyWithdrawn.acknowledged().plus(KEY_REVOCATION_LIMIT);
            observations.copy(observations.submitted).stream()
                    .filter(submitted -> submitted.key().equals(keyWithdrawn.key())
                            && submitted.outcome() == Observations.SubmissionOutcome.ACCEPTED
                            && accepted.getOrDefault(submitted.handle(), submitted.sent())
                                            .compareTo(end)
                                    > 0)
                    .forEach(submitted ->
                            out.add(submitted.handle() + " was accepted with the withdrawn key " + keyWithdrawn.key()));
            observations.copy(observations.served).stream()
                    .filter(keyServed -> keyServed.key().equals(keyWithdrawn.key())
                            && keyServed.answered().minus(ANSWER_TRANSIT).compareTo(end) > 0)
                    .forEach(keyServed ->
                            out.add(keyServed.what() + " was served under the withdrawn key " + keyWithdrawn.key()));
        });
        return out;
    }

    List<String> ignoredConfiguration() {
        List<String> out = new ArrayList<>(observations.copy(observations.ignored).stream()
                .filter(change ->
                        change.seenIgnored().compareTo(change.acknowledged().plus(APPLY_LIMIT)) > 0)
                .map(change -> change.what() + " was still ignored after "
                        + change.seenIgnored().minus(change.acknowledged()))
                .toList());
        Map<String, Long> newest = new HashMap<>();
        observations.copy(observations.versions).stream()
                .filter(nodeVersion -> nodeVersion.version() >= 0)
                .forEach(nodeVersion -> {
                    if (nodeVersion.version() < newest.getOrDefault(nodeVersion.node(), 0L)) {
                        out.add(nodeVersion.node() + " went back to " + nodeVersion.version() + " from "
                                + newest.get(nodeVersion.node()));
                    }
                    newest.merge(nodeVersion.node(), nodeVersion.version(), Math::max);
                });
        return out;
    }

    List<String> badConfiguration() {
        List<String> out = new ArrayList<>();
        List<Observations.ConfigurationAnswer> answers = observations.copy(observations.configurations);
        answers.stream()
                .filter(answer -> answer.accepted() && !answer.valid())
                .forEach(answer -> out.add(answer.requestId() + " is invalid but was accepted"));
        Map<Long, Set<String>> byVersion = answers.stream()
                .filter(Observations.ConfigurationAnswer::accepted)
                .collect(Collectors.groupingBy(
                        Observations.ConfigurationAnswer::version,
                        Collectors.mapping(Observations.ConfigurationAnswer::digest, Collectors.toSet())));
        byVersion.forEach((version, digests) -> {
            if (digests.size() > 1) {
                out.add("two configurations were accepted as version " + version);
            }
        });
        observations.copy(observations.reads).forEach(read -> {
            answers.stream()
                    .filter(answer -> answer.accepted()
                            && answer.at().compareTo(read.asked()) < 0
                            && answer.version() > read.version())
                    .findFirst()
                    .ifPresent(answer ->
                            out.add("read " + read.version() + " after " + answer.version() + " was accepted"));
            if (byVersion.containsKey(read.version())
                    && !byVersion.get(read.version()).contains(read.digest())) {
                out.add("read other content as version " + read.version());
            }
        });
        return out;
    }

    List<String> leavingProcessorUsed() {
        List<String> out = new ArrayList<>();
        observations
                .copy(observations.leaving)
                .forEach(markedLeaving -> observations.copy(observations.ran).stream()
                        .filter(ran -> ran.processor().equals(markedLeaving.processor())
                                && ran.begun()
                                                .compareTo(markedLeaving
                                                        .acknowledged()
                                                        .plus(APPLY_LIMIT))
                                        > 0
                                && observations.copy(observations.listed).stream()
                                        .noneMatch(listed -> listed.processor().equals(markedLeaving.processor())
                                                && listed.sent().compareTo(markedLeaving.acknowledged()) >= 0
                                                && listed.sent().compareTo(ran.begun()) <= 0))
                        .forEach(ran -> out.add(
                                ran.handle() + " was sent to the leaving processor " + markedLeaving.processor())));
        return out;
    }

    List<String> slowRecovery() {
        return observations.copy(observations.outages).stream()
                .filter(outage -> outage.served().minus(outage.restarted()).compareTo(RECOVERY_LIMIT) > 0)
                .map(outage -> "served again after " + outage.served().minus(outage.restarted()))
                .toList();
    }
}
