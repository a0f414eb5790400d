package org.woadvale.foundation.tide;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.Schedule;
import org.woadvale.foundation.lantern.Shard;
import org.woadvale.foundation.watch.Places;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** All local buckets of a node: asks ahead, and lets a few wait shortly on an empty one. design 8.3 */
public final class Purses {
    public static final Duration WAIT = Duration.ofMillis(250);
    private static final Duration SEEN = Duration.ofSeconds(2);
    private static final Duration ASK = Duration.ofMillis(200);
    private static final Duration AGAIN = Duration.ofMillis(30);
    private static final Duration TELL = Duration.ofMillis(100);
    private static final int MAX_WAITING = 256;

    private record Waiting(Sinks.One<Purse.Pass> sink, Duration until) { }

    private static final class Local {
        final Purse purse = new Purse();
        final Deque<Waiting> waiting = new ArrayDeque<>();
        Duration seen = Duration.ZERO;
        Duration notBefore = Duration.ZERO;
        Duration retry = WAIT;
        boolean asking;
        /** Somebody wanted a pass and did not wait for it. */
        boolean missed;
        Duration told = Duration.ZERO;
        long pending;
        Duration pendingSince = Duration.ZERO;
    }

    /** Counts for the measurements: drawn at once, after a wait, or not at all. */
    public record Counts(long atOnce, long waited, long throttled, long asks) { }

    private final Env env;
    private final News news;
    private final Shard shard = new Shard();
    private final Map<String, Local> all = new HashMap<>();
    private Schedule looking = () -> { };
    private long nextGrant;
    private long atOnce;
    private long waited;
    private long throttled;
    private long asks;

    public Purses(Env env, News news) {
        this.env = env;
        this.news = news;
        this.nextGrant = env.random().getAsLong() >>> 8;
    }

    public void start() {
        looking = env.schedules().every(Duration.ofMillis(25), this::look);
    }

    public void stop() {
        looking.cancel();
    }

    private Duration now() {
        return env.times().mono();
    }

    /** At once where the purse holds one; else a short wait for the refill in flight, bounded by the given one and by WAIT. */
    public Mono<Purse.Pass> take(String bucket, Duration wait) {
        return Mono.defer(() -> shard.get(() -> {
            Local l = all.computeIfAbsent(bucket, b -> new Local());
            l.seen = now();
            Optional<Purse.Pass> p = l.waiting.isEmpty() ? l.purse.take(now()) : Optional.empty();
            if (p.isPresent()) {
                atOnce++;
                refill(bucket, l);
                return Mono.just(p.get());
            }
            boolean hopeless = l.retry.compareTo(WAIT) > 0 && l.notBefore.compareTo(now()) > 0;
            if (l.waiting.size() >= MAX_WAITING || hopeless) {
                throttled++;
                return Mono.error(throttled(l));
            }
            Waiting w = new Waiting(Sinks.one(), now().plus(wait.compareTo(WAIT) < 0 ? wait : WAIT));
            l.waiting.add(w);
            refill(bucket, l);
            return w.sink().asMono();
        }));
    }

    /** Without any wait; for the leaving direction, where the next look tries again. */
    public Optional<Purse.Pass> tryTake(String bucket) {
        return shard.get(() -> {
            Local l = all.computeIfAbsent(bucket, b -> new Local());
            l.seen = now();
            Optional<Purse.Pass> p = l.purse.take(now());
            p.ifPresent(x -> atOnce++);
            l.missed = p.isEmpty();
            refill(bucket, l);
            return p;
        });
    }

    public boolean alive(Purse.Pass p) {
        return now().compareTo(p.until()) < 0;
    }

    public void putBack(String bucket, Purse.Pass p) {
        shard.run(() -> Optional.ofNullable(all.get(bucket)).ifPresent(l -> l.purse.putBack(p)));
    }

    public void settle(String bucket, Purse.Pass p) {
        shard.run(() -> Optional.ofNullable(all.get(bucket)).ifPresent(l -> l.purse.settle(p)));
    }

    private Fault throttled(Local l) {
        long s = Math.max(1, (l.retry.toMillis() + 999) / 1000);
        return new Fault(ErrorKind.THROTTLED, "The allowance is spent for now.", List.of(Long.toString(s)));
    }

    private void look() {
        shard.run(() -> all.forEach((b, l) -> {
            serve(l);
            while (!l.waiting.isEmpty() && now().compareTo(l.waiting.peek().until()) >= 0) {
                Waiting w = l.waiting.poll();
                throttled++;
                Fault f = throttled(l);
                shard.leave(() -> w.sink().tryEmitError(f));
            }
            if (now().minus(l.seen).compareTo(SEEN) < 0) {
                refill(b, l);
                report(b, l);
            }
        }));
    }

    private void serve(Local l) {
        while (!l.waiting.isEmpty()) {
            Optional<Purse.Pass> p = l.purse.take(now());
            if (p.isEmpty()) {
                return;
            }
            Waiting w = l.waiting.poll();
            waited++;
            shard.leave(() -> w.sink().tryEmitValue(p.get()));
        }
    }

    private void refill(String bucket, Local l) {
        boolean need = !l.waiting.isEmpty() || l.missed || (l.purse.low(now()) && !l.purse.tiny());
        if (!need || l.asking || now().compareTo(l.notBefore) < 0) {
            return;
        }
        Optional<String> holder = Optional.of(news.latest(bucket).duty().holder()).filter(h -> !h.isEmpty());
        if (holder.isEmpty()) {
            l.notBefore = now().plus(AGAIN);
            shard.leave(() -> news.hurry(bucket));
            return;
        }
        if (l.pending == 0 || now().minus(l.pendingSince).compareTo(Passes.LIFE.dividedBy(2)) > 0) {
            l.pending = ++nextGrant;
            l.pendingSince = now();
        }
        l.asking = true;
        l.told = now();
        asks++;
        Duration since = l.pendingSince;
        Passes.PassAsk ask = new Passes.PassAsk(bucket, l.pending, Math.max(l.waiting.size(), l.missed ? 1 : 0),
            l.purse.reports(now()));
        shard.leave(() -> env.beam().ask(holder.get(), ask, Passes.PassReply.class, ASK)
            .subscribe(r -> shard.run(() -> granted(bucket, l, r, since)), e -> shard.run(() -> {
                l.asking = false;
                l.notBefore = now().plus(AGAIN);
                // the holder may be another by now: design 8.4
                shard.leave(() -> news.hurry(bucket));
            })));
    }

    /** What is spent is told soon: the holder fills only what is not out. */
    private void report(String bucket, Local l) {
        Optional<String> holder = Optional.of(news.latest(bucket).duty().holder()).filter(h -> !h.isEmpty());
        if (l.asking || holder.isEmpty() || !l.purse.hasNews() || now().minus(l.told).compareTo(TELL) < 0) {
            return;
        }
        l.told = now();
        asks++;
        Passes.PassAsk ask = new Passes.PassAsk(bucket, Passes.NO_GRANT, 0, l.purse.reports(now()));
        shard.leave(() -> env.beam().ask(holder.get(), ask, Passes.PassReply.class, ASK).subscribe(r -> { }, e -> { }));
    }

    private void granted(String bucket, Local l, Passes.PassReply r, Duration asked) {
        l.asking = false;
        l.missed = false;
        l.pending = 0;
        l.purse.granted(r.grant(), r.granted(), asked, r.life(), now());
        l.retry = r.granted() > 0 ? AGAIN : r.retry();
        if (r.granted() == 0) {
            Duration pause = r.retry().compareTo(WAIT) > 0 ? WAIT : r.retry();
            l.notBefore = now().plus(pause.compareTo(AGAIN) < 0 ? AGAIN : pause);
        }
        serve(l);
        refill(bucket, l);
    }

    public Counts counts() {
        return shard.get(() -> new Counts(atOnce, waited, throttled, asks));
    }
}
