package org.woadvale.trials.hollow;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.beam.Beam;
import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Router;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.lantern.Schedule;
import org.woadvale.foundation.logbook.NoLogbook;
import org.woadvale.foundation.tide.Holders;
import org.woadvale.foundation.tide.Passes;
import org.woadvale.foundation.tide.Purses;
import org.woadvale.foundation.watch.Asks;
import org.woadvale.foundation.watch.Core;
import org.woadvale.foundation.watch.Places;
import org.woadvale.foundation.watch.Seat;
import org.woadvale.foundation.watch.ServiceView;
import org.woadvale.pilot.Layouts;
import org.woadvale.trials.squall.Sim;

import reactor.core.publisher.Mono;

/**
 * What a pilot does for control and nothing else: the shipped news, passes and claims, put together as PilotNode does
 * (design 6.3, 7, 8), without callers' HTTP, messages or a disk.
 */
final class HollowNode {
    private static final Duration LEARN = Duration.ofSeconds(2);
    private static final Duration FOLLOW = Duration.ofSeconds(1);

    private final Env env;
    private final Core core;
    private final News news;
    private final Layouts layouts;
    private final Purses purses;
    private final Optional<Holders> holders;
    private final String role;
    private final Seat seat;
    private final List<Schedule> running = new java.util.ArrayList<>();

    HollowNode(HollowHost host, Beam beam, Codec codec, Sim sim, String hall, List<String> seeds, String role) {
        this.env = new Env(host, host, beam, codec, new NoLogbook(), sim.random()::nextLong, Pace.usual());
        this.core = new Core(beam, sim.random()::nextLong, seeds, List.of(), l -> { });
        this.role = role;
        this.seat = new Seat(hall, host.address, Long.toHexString(sim.random().nextLong()), List.of());
        this.news = new News(env, core, hall);
        this.layouts = new Layouts(news);
        this.purses = new Purses(env, news);
        this.holders = role.equals(Places.INTAKES)
            ? Optional.of(new Holders(env, core, news, layouts::allowance, layouts::buckets)) : Optional.empty();
        Router router = new Router();
        router.on(Asks.NewsAsk.class, (f, a) -> news.asked(a))
            .on(Asks.CoreAsk.class, (f, a) -> Mono.just(new Asks.CoreReply(core.lighthouses())));
        holders.ifPresent(h -> router.on(Passes.PassAsk.class, h::asked));
        host.serve(router);
    }

    /** A store follows the lists of the processors that it sends to, as Launches does in each round. */
    void start(List<String> followed) {
        news.start();
        purses.start();
        holders.ifPresent(Holders::start);
        claim();
        running.add(env.schedules().every(env.pace().renew(), this::claim));
        running.add(env.schedules().every(LEARN, core::learn));
        if (holders.isEmpty() && !followed.isEmpty()) {
            follow(followed);
            running.add(env.schedules().every(FOLLOW, () -> follow(followed)));
        }
    }

    private void follow(List<String> services) {
        services.forEach(news::latest);
    }

    private void claim() {
        core.ask(Places.controlPart(role), new Asks.ClaimAsk(role, env.self(), seat), Asks.Done.class)
            .subscribe(d -> { }, e -> { });
    }

    /** One pass for one message, settled at once. design 8.3 */
    void draw(String bucket) {
        purses.take(bucket, Purses.WAIT).subscribe(p -> purses.settle(bucket, p), e -> { });
    }

    Purses.Counts passes() {
        return purses.counts();
    }

    /** Only stores follow the lists. */
    boolean follows() {
        return holders.isEmpty();
    }

    int holds() {
        return holders.map(h -> h.holds().size()).orElse(0);
    }

    ServiceView latest(String service) {
        return news.latest(service);
    }

    /** The layout that this node may use now; -1 where none is proven fresh. design 7.2 */
    long layoutVersion() {
        return layouts.fresh().map(Layouts.Known::version).orElse(-1L);
    }

    int members() {
        return news.latest(Places.INTAKES).seats().size() + news.latest(Places.STORES).seats().size();
    }

    /** The incarnation that the node's own view of its role shows for a member; empty where it has none. */
    String incarnationOf(String service, String node) {
        Map<String, Seat> seats = news.latest(service).seats();
        return seats.containsKey(node) ? seats.get(node).incarnation() : "";
    }

    String incarnation() {
        return seat.incarnation();
    }

    void stop() {
        running.forEach(Schedule::cancel);
        holders.ifPresent(Holders::stop);
        purses.stop();
        news.stop();
    }
}
