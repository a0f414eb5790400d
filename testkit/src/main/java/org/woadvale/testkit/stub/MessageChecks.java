package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.woadvale.testkit.stub.Observations.SubmissionOutcome;

/** Finds messages that were lost, run after success, run though refused, run out of order, or done without proof. */
final class MessageChecks {
    private final Observations observations;

    MessageChecks(Observations observations) {
        this.observations = observations;
    }

    /**
     * At the end of a test run every accepted message must be shown as ended, and as failed only for a reason that was
     * observed from outside.
     */
    List<String> lost() {
        Map<String, Duration> ended = new HashMap<>();
        observations.copy(observations.shown).stream()
                .filter(Observations.StatusRead::isTerminal)
                .forEach(shown -> ended.merge(shown.handle(), shown.at(), (a, b) -> a.compareTo(b) < 0 ? a : b));
        List<String> out = new ArrayList<>(observations.copy(observations.submitted).stream()
                .filter(submitted ->
                        submitted.outcome() == SubmissionOutcome.ACCEPTED && !ended.containsKey(submitted.handle()))
                .map(submitted -> submitted.handle() + " was never shown as ended")
                .distinct()
                .toList());
        observations.copy(observations.shown).stream()
                .filter(shown -> !shown.isTerminal()
                        && ended.containsKey(shown.handle())
                        && shown.asked().compareTo(ended.get(shown.handle())) > 0)
                .forEach(shown -> out.add(shown.handle() + " was shown as " + shown.state() + " after its end"));
        out.addAll(new FailureReasons(observations).unsupportedFailures());
        return out;
    }

    List<String> ranAfterSuccess() {
        Map<String, Duration> success = new HashMap<>();
        observations.copy(observations.answered).stream()
                .filter(Observations.RunAnswered::success)
                .forEach(answered ->
                        success.merge(answered.handle(), answered.at(), (x, y) -> x.compareTo(y) < 0 ? x : y));
        return observations.copy(observations.ran).stream()
                .filter(ran ->
                        success.containsKey(ran.handle()) && ran.begun().compareTo(success.get(ran.handle())) > 0)
                .map(ran -> ran.handle() + " attempt " + ran.attempt() + " began after a success")
                .toList();
    }

    /** Runs of ids whose submissions were all definitely refused. */
    List<String> refusedRan() {
        Function<Observations.Submitted, String> id =
                submitted -> submitted.tenant() + "/" + submitted.lane() + "/" + submitted.id();
        Map<String, Set<Observations.SubmissionOutcome>> outcomes = observations.copy(observations.submitted).stream()
                .collect(Collectors.groupingBy(
                        id, Collectors.mapping(Observations.Submitted::outcome, Collectors.toSet())));
        return observations.copy(observations.ran).stream()
                .map(ran -> ran.tenant() + "/" + ran.lane() + "/" + ran.callerId())
                .distinct()
                .filter(k -> outcomes.getOrDefault(k, Set.of()).equals(Set.of(SubmissionOutcome.REFUSED)))
                .map(k -> k + " ran although every submission was refused")
                .toList();
    }

    /** When each message ended: the owner's timestamp if known, otherwise the last answer of a processor. */
    private Map<String, Duration> ends() {
        Map<String, Duration> out = new HashMap<>();
        observations
                .copy(observations.answered)
                .forEach(answered -> out.merge(answered.handle(), answered.at(), (x, y) -> x.compareTo(y) > 0 ? x : y));
        observations.copy(observations.shown).stream()
                .filter(shown -> shown.isTerminal() && !shown.ended().isNegative())
                .forEach(shown -> out.put(shown.handle(), shown.ended()));
        return out;
    }

    /**
     * No message of an ordering key may start before every earlier accepted message of the key has ended, even if that
     * message never ran.
     */
    List<String> outOfOrder() {
        Map<String, Duration> ended = ends();
        Set<String> live = observations.copy(observations.ran).stream()
                .map(Observations.RunStarted::handle)
                .collect(Collectors.toSet());
        observations.copy(observations.died).forEach(died -> live.remove(died.handle()));
        Map<String, Set<String>> byKey = new HashMap<>();
        observations.copy(observations.submitted).stream()
                .filter(message -> !message.orderKey().isEmpty() && message.outcome() == SubmissionOutcome.ACCEPTED)
                .forEach(message -> byKey.computeIfAbsent(
                                group(message.tenant(), message.lane(), message.orderKey()), k -> new HashSet<>())
                        .add(message.handle()));
        Map<String, List<Observations.RunStarted>> runs = observations.copy(observations.ran).stream()
                .filter(r -> !r.orderKey().isEmpty())
                .collect(Collectors.groupingBy(r -> group(r.tenant(), r.lane(), r.orderKey())));
        Map<String, List<Duration>> finished = new HashMap<>();
        observations
                .copy(observations.answered)
                .forEach(answered -> finished.computeIfAbsent(answered.handle(), h -> new ArrayList<>())
                        .add(answered.at()));
        observations
                .copy(observations.died)
                .forEach(died -> finished.computeIfAbsent(died.handle(), h -> new ArrayList<>())
                        .add(died.at()));
        List<String> out = new ArrayList<>();
        runs.forEach((k, list) -> {
            Set<String> all = new HashSet<>(byKey.getOrDefault(k, Set.of()));
            list.forEach(r -> all.add(r.handle()));
            for (Observations.RunStarted later : list) {
                for (String earlier : all) {
                    if (seq(earlier) < seq(later.handle()) && !endedBefore(ended, live, earlier, later.begun())) {
                        out.add(k + ": " + later.handle() + " began before " + earlier + " had ended");
                    }
                }
                stillRunning(list, finished, later)
                        .forEach(e -> out.add(k + ": " + later.handle() + " began while " + e + " was running"));
            }
        });
        return out.stream().distinct().toList();
    }

    /**
     * Without a timestamp nothing is known about a message that never ran or whose processor died; check 01 covers it.
     */
    private static boolean endedBefore(Map<String, Duration> ended, Set<String> live, String handle, Duration begun) {
        return ended.containsKey(handle) ? ended.get(handle).compareTo(begun) <= 0 : !live.contains(handle);
    }

    private static List<String> stillRunning(
            List<Observations.RunStarted> runs, Map<String, List<Duration>> finished, Observations.RunStarted later) {
        Map<String, Long> begun = new HashMap<>();
        runs.stream()
                .filter(ran ->
                        seq(ran.handle()) < seq(later.handle()) && ran.begun().compareTo(later.begun()) < 0)
                .forEach(ran -> begun.merge(ran.handle(), 1L, Long::sum));
        return begun.entrySet().stream()
                .filter(entry -> finished.getOrDefault(entry.getKey(), List.of()).stream()
                                .filter(t -> t.compareTo(later.begun()) <= 0)
                                .count()
                        < entry.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    private static String group(String tenant, String lane, String key) {
        return tenant + "/" + lane + "/" + key;
    }

    private static long seq(String handle) {
        return Long.parseLong(handle.substring(handle.indexOf('-') + 1));
    }

    /** Messages shown as done without a processor's success answer for the same message and receipt. */
    List<String> withoutProof() {
        Set<String> receipts = observations.copy(observations.answered).stream()
                .filter(Observations.RunAnswered::success)
                .map(answered -> answered.handle() + "/" + answered.receipt())
                .collect(Collectors.toSet());
        return observations.copy(observations.shown).stream()
                .filter(shown -> shown.state().equals("done"))
                .filter(shown -> !receipts.contains(shown.handle() + "/" + shown.proof()))
                .map(shown -> shown.handle() + " is shown as done with an unknown receipt: " + shown.proof())
                .distinct()
                .sorted(Comparator.naturalOrder())
                .toList();
    }
}
