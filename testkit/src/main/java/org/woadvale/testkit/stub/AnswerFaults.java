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

/** What became of messages: lost, run again, run though refused, out of order, done without proof. */
final class AnswerFaults {
    private final Observations s;

    AnswerFaults(Observations s) {
        this.s = s;
    }

    /** At the end of a run every accepted message must be shown as ended; as failed only for a reason seen outside. */
    List<String> lost() {
        Map<String, Duration> ended = new HashMap<>();
        s.copy(s.shown).stream()
                .filter(Observations.Shown::over)
                .forEach(x -> ended.merge(x.handle(), x.at(), (a, b) -> a.compareTo(b) < 0 ? a : b));
        List<String> out = new ArrayList<>(s.copy(s.submitted).stream()
                .filter(h -> h.said() == Observations.Said.ACCEPTED && !ended.containsKey(h.handle()))
                .map(h -> h.handle() + " was never shown as ended")
                .distinct()
                .toList());
        s.copy(s.shown).stream()
                .filter(x ->
                        !x.over() && ended.containsKey(x.handle()) && x.asked().compareTo(ended.get(x.handle())) > 0)
                .forEach(x -> out.add(x.handle() + " was shown as " + x.state() + " after its end"));
        out.addAll(new Reasons(s).unfounded());
        return out;
    }

    List<String> runAgain() {
        Map<String, Duration> success = new HashMap<>();
        s.copy(s.answered).stream()
                .filter(Observations.Answered::success)
                .forEach(a -> success.merge(a.handle(), a.at(), (x, y) -> x.compareTo(y) < 0 ? x : y));
        return s.copy(s.ran).stream()
                .filter(r -> success.containsKey(r.handle()) && r.begun().compareTo(success.get(r.handle())) > 0)
                .map(r -> r.handle() + " attempt " + r.attempt() + " began after a success")
                .toList();
    }

    /** Definite refusals of an id that was never accepted nor left unknown. */
    List<String> refusedRan() {
        Function<Observations.Submitted, String> id = h -> h.tenant() + "/" + h.lane() + "/" + h.id();
        Map<String, Set<Observations.Said>> said = s.copy(s.submitted).stream()
                .collect(Collectors.groupingBy(
                        id, Collectors.mapping(Observations.Submitted::said, Collectors.toSet())));
        return s.copy(s.ran).stream()
                .map(r -> r.tenant() + "/" + r.lane() + "/" + r.callerId())
                .distinct()
                .filter(k -> said.getOrDefault(k, Set.of()).equals(Set.of(Observations.Said.REFUSED)))
                .map(k -> k + " ran though refused")
                .toList();
    }

    /** When each message ended, as its owner stamped it, or else as its processors saw it. */
    private Map<String, Duration> ends() {
        Map<String, Duration> out = new HashMap<>();
        s.copy(s.answered).forEach(a -> out.merge(a.handle(), a.at(), (x, y) -> x.compareTo(y) > 0 ? x : y));
        s.copy(s.shown).stream()
                .filter(x -> x.over() && !x.ended().isNegative())
                .forEach(x -> out.put(x.handle(), x.ended()));
        return out;
    }

    /** No run of a key may begin before every earlier accepted message of it has ended, whether that ever ran or not. */
    List<String> order() {
        Map<String, Duration> ended = ends();
        Set<String> ran = s.copy(s.ran).stream().map(Observations.Ran::handle).collect(Collectors.toSet());
        s.copy(s.died).forEach(d -> ran.remove(d.handle()));
        Map<String, Set<String>> byKey = new HashMap<>();
        s.copy(s.submitted).stream()
                .filter(h -> !h.orderKey().isEmpty() && h.said() == Observations.Said.ACCEPTED)
                .forEach(h -> byKey.computeIfAbsent(group(h.tenant(), h.lane(), h.orderKey()), k -> new HashSet<>())
                        .add(h.handle()));
        Map<String, List<Observations.Ran>> runs = s.copy(s.ran).stream()
                .filter(r -> !r.orderKey().isEmpty())
                .collect(Collectors.groupingBy(r -> group(r.tenant(), r.lane(), r.orderKey())));
        Map<String, List<Duration>> overs = new HashMap<>();
        s.copy(s.answered)
                .forEach(a -> overs.computeIfAbsent(a.handle(), h -> new ArrayList<>())
                        .add(a.at()));
        s.copy(s.died)
                .forEach(d -> overs.computeIfAbsent(d.handle(), h -> new ArrayList<>())
                        .add(d.at()));
        List<String> out = new ArrayList<>();
        runs.forEach((k, list) -> {
            Set<String> all = new HashSet<>(byKey.getOrDefault(k, Set.of()));
            list.forEach(r -> all.add(r.handle()));
            for (Observations.Ran later : list) {
                for (String earlier : all) {
                    if (seq(earlier) < seq(later.handle()) && !before(ended, ran, earlier, later.begun())) {
                        out.add(k + ": " + later.handle() + " began before " + earlier + " had ended");
                    }
                }
                stillRunning(list, overs, later)
                        .forEach(e -> out.add(k + ": " + later.handle() + " began while " + e + " was running"));
            }
        });
        return out.stream().distinct().toList();
    }

    /** Of one that never ran, or whose runs died, nothing more is known here without a stamp; line 01 has it. */
    private static boolean before(Map<String, Duration> ended, Set<String> ran, String handle, Duration begun) {
        return ended.containsKey(handle) ? ended.get(handle).compareTo(begun) <= 0 : !ran.contains(handle);
    }

    private static List<String> stillRunning(
            List<Observations.Ran> runs, Map<String, List<Duration>> overs, Observations.Ran later) {
        Map<String, Long> begun = new HashMap<>();
        runs.stream()
                .filter(r -> seq(r.handle()) < seq(later.handle()) && r.begun().compareTo(later.begun()) < 0)
                .forEach(r -> begun.merge(r.handle(), 1L, Long::sum));
        return begun.entrySet().stream()
                .filter(e -> overs.getOrDefault(e.getKey(), List.of()).stream()
                                .filter(t -> t.compareTo(later.begun()) <= 0)
                                .count()
                        < e.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    private static String group(String tenant, String lane, String key) {
        return tenant + "/" + lane + "/" + key;
    }

    private static long seq(String handle) {
        return Long.parseLong(handle.substring(handle.indexOf('-') + 1));
    }

    /** Shown as done: a processor must have answered that very message with that very receipt. */
    List<String> proof() {
        Set<String> receipts = s.copy(s.answered).stream()
                .filter(Observations.Answered::success)
                .map(a -> a.handle() + "/" + a.receipt())
                .collect(Collectors.toSet());
        return s.copy(s.shown).stream()
                .filter(x -> x.state().equals("done"))
                .filter(x -> !receipts.contains(x.handle() + "/" + x.proof()))
                .map(x -> x.handle() + " with " + x.proof())
                .distinct()
                .sorted(Comparator.naturalOrder())
                .toList();
    }
}
