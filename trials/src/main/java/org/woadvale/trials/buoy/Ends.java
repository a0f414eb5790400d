package org.woadvale.trials.buoy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** When messages have ended, by what the processors answered, the time kept and the routes there are. */
final class Ends {
    private final Watchbook w;
    private final Map<String, Watchbook.Sent> sent = new HashMap<>();
    private final Map<String, Watchbook.Said> accepted = new HashMap<>();
    private final Map<String, List<Watchbook.Ended>> ended = new HashMap<>();

    Ends(Watchbook w) {
        this.w = w;
        w.sent.forEach(s -> sent.put(s.id(), s));
        w.said.stream().filter(s -> s.status() == 202).forEach(s -> accepted.put(s.id(), s));
        w.ended.forEach(e -> ended.computeIfAbsent(e.id(), k -> new ArrayList<>()).add(e));
    }

    Optional<Watchbook.Sent> sent(String id) {
        return Optional.ofNullable(sent.get(id));
    }

    Map<String, Watchbook.Said> accepted() {
        return accepted;
    }

    /** Any of the configurations ever sent that could rule this request: its route there. */
    Optional<Papers.Route> route(Watchbook.Sent s) {
        return w.papers.stream().filter(Watchbook.Paper::valid).flatMap(p -> p.papers().route(s.host(), s.path()).stream())
            .findFirst();
    }

    private int attempts(Watchbook.Sent s) {
        return route(s).map(Papers.Route::maxAttempts).orElse(1);
    }

    boolean succeeded(String id) {
        return ended.getOrDefault(id, List.of()).stream().anyMatch(Ends::success);
    }

    List<String> seals(String id) {
        return ended.getOrDefault(id, List.of()).stream().filter(Ends::success).map(Watchbook.Ended::seal).toList();
    }

    static boolean success(Watchbook.Ended e) {
        return e.status() >= 200 && e.status() < 300 && !e.seal().isEmpty();
    }

    /** The earliest time at which it may be called ended. */
    Optional<Duration> end(String id) {
        Watchbook.Sent s = sent.get(id);
        List<Watchbook.Ended> runs = ended.getOrDefault(id, List.of());
        List<Duration> out = new ArrayList<>();
        runs.stream().filter(e -> success(e) || e.status() == 422).map(Watchbook.Ended::at).forEach(out::add);
        List<Duration> failed = runs.stream().filter(e -> e.status() == 500).map(Watchbook.Ended::at).sorted().toList();
        if (failed.size() >= attempts(s)) {
            out.add(failed.get(attempts(s) - 1));
        }
        route(s).ifPresent(r -> out.add(s.at().plusMillis((long) (r.retentionS() * 1000))));
        w.papers.stream().filter(p -> p.valid() && p.status() != 412 && p.sent().compareTo(s.at()) > 0
            && p.papers().route(s.host(), s.path()).isEmpty()).map(Watchbook.Paper::sent).forEach(out::add);
        return out.stream().min(Duration::compareTo);
    }

    boolean endedBy(String id, Duration at) {
        return end(id).filter(e -> e.compareTo(at) <= 0).isPresent();
    }
}
