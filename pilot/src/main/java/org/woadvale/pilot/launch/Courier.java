package org.woadvale.pilot.launch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.Pauses;
import org.woadvale.foundation.watch.Places;

import reactor.core.publisher.Mono;

/** Finds the owner of a message part among its stores and asks it. */
public final class Courier {
    private static final Duration EACH = Duration.ofMillis(800);
    private static final Duration PAUSE = Duration.ofMillis(60);
    private final Env env;
    private final News news;
    private final Map<String, String> owners = new ConcurrentHashMap<>();

    public Courier(Env env, News news) {
        this.env = env;
        this.news = news;
    }

    private String guess(String part, int turn) {
        List<String> copies = new ArrayList<>(news.latest(Places.STORES).placement().getOrDefault(part, List.of()));
        String known = owners.getOrDefault(part, "");
        if (turn == 0 && !known.isEmpty()) {
            return known;
        }
        return copies.isEmpty() ? "" : copies.get(turn % copies.size());
    }

    /**
     * Goes on until the limit. The answer is definite only if no try before it was left unknown.
     */
    public <T> Mono<T> ask(String part, Function<Integer, Object> body, Class<T> type, Duration limit) {
        return attempt(part, body, type, env.times().mono().plus(limit), 0, false, "");
    }

    private <T> Mono<T> attempt(String part, Function<Integer, Object> body, Class<T> type, Duration until, int turn,
                                boolean unknown, String hint) {
        String to = hint.isEmpty() ? guess(part, turn) : hint;
        if (to.isEmpty()) {
            return Mono.error(new Fault(ErrorKind.UNAVAILABLE, "No store is placed for the part " + part + "."));
        }
        return env.beam().ask(to, body.apply(turn), type, EACH)
            .doOnNext(t -> owners.put(part, to))
            .onErrorResume(e -> {
                Fault f = Fault.of(e);
                owners.remove(part, to);
                boolean nowUnknown = unknown || !f.kind().definite();
                boolean again = f.kind() == ErrorKind.NOT_OWNER || f.kind() == ErrorKind.UNREACHABLE
                    || f.kind() == ErrorKind.UNKNOWN_OUTCOME || f.kind() == ErrorKind.STOPPING;
                if (!again || env.times().mono().compareTo(until) >= 0) {
                    return Mono.error(settled(f, nowUnknown));
                }
                String next = f.kind() == ErrorKind.NOT_OWNER && !f.details().isEmpty() ? f.details().get(0) : "";
                Mono<T> more = Mono.defer(() -> attempt(part, body, type, until, turn + 1, nowUnknown, next));
                return next.isEmpty() ? Pauses.pause(env.schedules(), PAUSE).then(more) : more;
            });
    }

    /** A definite refusal after an unknown try says nothing of that try: design 9.6. */
    private static Fault settled(Fault last, boolean unknown) {
        if (unknown) {
            return new Fault(ErrorKind.UNKNOWN_OUTCOME, "It is not known whether this was taken; ask with the same id.");
        }
        return last.kind() == ErrorKind.NOT_OWNER || last.kind() == ErrorKind.UNREACHABLE
            || last.kind() == ErrorKind.STOPPING
            ? new Fault(ErrorKind.UNAVAILABLE, "The store of this message has no owner now.") : last;
    }
}
