package org.woadvale.pilot;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.beam.Router;
import org.woadvale.foundation.chart.Boot;
import org.woadvale.foundation.gate.Answer;
import org.woadvale.foundation.gate.Request;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.keeper.Phase;
import org.woadvale.foundation.lantern.Component;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.Schedule;
import org.woadvale.foundation.tide.Allowance;
import org.woadvale.foundation.tide.Holders;
import org.woadvale.foundation.tide.Passes;
import org.woadvale.foundation.tide.Purses;
import org.woadvale.foundation.watch.Asks;
import org.woadvale.foundation.watch.Core;
import org.woadvale.foundation.watch.Places;
import org.woadvale.foundation.watch.Seat;
import org.woadvale.pilot.berth.Berths;
import org.woadvale.pilot.gangway.Fetches;
import org.woadvale.pilot.gangway.Gangway;
import org.woadvale.pilot.gangway.Intake;
import org.woadvale.pilot.gangway.Queries;
import org.woadvale.pilot.launch.Courier;
import org.woadvale.pilot.launch.Kit;
import org.woadvale.pilot.launch.Launches;
import org.woadvale.pilot.launch.OwnSpeech;
import org.woadvale.pilot.launch.Post;
import org.woadvale.pilot.launch.Recorder;
import org.woadvale.pilot.launch.Speech;
import org.woadvale.pilot.launch.Targets;

import reactor.core.publisher.Mono;

/** A pilot: intake, store or both, as its boot file says. design 1 */
public final class PilotNode implements Component {
    private static final Allowance STORE_UNITS = new Allowance(8000, 16000);
    private static final Allowance PART_UNITS = new Allowance(2000, 8000);

    private final Env env;
    private final Boot boot;
    private final Core core;
    private final News news;
    private final Layouts layouts;
    private final Purses purses;
    private final Optional<Holders> holders;
    private final Optional<Berths> berths;
    private final Optional<Launches> launches;
    private final StoreSeats seats;
    private final Gangway gangway;
    private final Intake intake;
    private final Fetches fetches;
    private final Queries queries;
    private final String incarnation;
    private Schedule claiming = () -> { };
    private Schedule learning = () -> { };
    private volatile boolean draining;

    public PilotNode(Env env, Boot boot, Core core, Post post) {
        this(env, boot, core, post, new OwnSpeech());
    }

    public PilotNode(Env env, Boot boot, Core core, Post post, Speech speech) {
        this.env = env;
        this.boot = boot;
        this.core = core;
        this.incarnation = Long.toHexString(env.random().getAsLong());
        this.news = new News(env, core, boot.hall());
        this.layouts = new Layouts(news);
        this.purses = new Purses(env, news);
        Courier courier = new Courier(env, news, boot.hall());
        this.holders = boot.roles().contains("intake")
            ? Optional.of(new Holders(env, core, news, layouts::allowance, layouts::buckets)) : Optional.empty();
        this.berths = boot.roles().contains("store")
            ? Optional.of(new Berths(env, news, STORE_UNITS, PART_UNITS, (long) boot.partMb() << 20,
                Duration.ofSeconds(boot.keepEndedS()))) : Optional.empty();
        this.seats = new StoreSeats(env, news, berths);
        this.launches = berths.map(b -> new Launches(new Kit(env, news, layouts, purses, b, new Targets(env), post,
            speech, new Recorder(env, courier), Duration.ofMillis(boot.leaseMs()), boot.hall())));
        this.intake = new Intake(env, layouts, purses, courier);
        this.fetches = new Fetches(env, news, layouts, courier, boot.hall(), () -> draining);
        this.queries = new Queries(layouts, courier);
        this.gangway = new Gangway(env, layouts, intake, queries, courier, this::status, this::ready, this::drain);
    }

    @Override
    public String name() {
        return "pilot";
    }

    public void route(Router router) {
        router.on(Asks.NewsAsk.class, (f, a) -> news.asked(a))
            .on(Asks.CoreAsk.class, (f, a) -> Mono.just(new Asks.CoreReply(core.lighthouses())));
        holders.ifPresent(h -> router.on(Passes.PassAsk.class, h::asked));
        berths.ifPresent(b -> b.route(router));
        launches.ifPresent(l -> l.route(router));
    }

    @Override
    public void start() throws Fault {
        news.start();
        purses.start();
        holders.ifPresent(Holders::start);
        if (berths.isPresent()) {
            launches.ifPresent(l -> berths.get().onOpen(l::opened));
            berths.get().start();
            launches.ifPresent(Launches::start);
        }
        claim();
        claiming = env.schedules().every(Pace.usual().renew(), this::claim);
        learning = env.schedules().every(Duration.ofSeconds(2), core::learn);
    }

    /** A member while it renews its claim: design 6.3. */
    private void claim() {
        if (draining) {
            return;
        }
        Seat seat = new Seat(boot.hall(), boot.http(), incarnation, seats.unseated());
        boot.roles().forEach(role -> {
            String service = "role/" + role;
            core.ask(Places.controlPart(service), new Asks.ClaimAsk(service, env.self(), seat), Asks.Done.class)
                .subscribe(d -> { }, e -> { });
        });
    }

    /** Duties and parts are given away first; true once nothing is left here. */
    public boolean drain() {
        if (!draining) {
            draining = true;
            holders.ifPresent(Holders::drain);
            boot.roles().stream().filter(r -> r.equals("intake")).forEach(role -> {
                String service = "role/" + role;
                core.ask(Places.controlPart(service), new Asks.LeaveAsk(service, env.self()), Asks.Done.class)
                    .subscribe(d -> { }, e -> { });
            });
        }
        return berths.map(Berths::drain).orElse(true);
    }

    /** No delivery that was begun here is still without its end. */
    public boolean idle() {
        return launches.map(Launches::idle).orElse(true);
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.reseed(seeds);
    }

    public boolean ready() {
        return !draining && layouts.fresh().isPresent() && !news.latest(Places.STORES).placement().isEmpty()
            && berths.map(b -> b.all().values().stream().allMatch(x -> x.replica().owner().isPresent())).orElse(true);
    }

    public Map<String, Set<String>> groups() {
        return seats.groups();
    }

    public int unseatedCount() {
        return seats.unseated().size();
    }

    /** How many message parts this node owns now. */
    public long owned() {
        return seats.owned();
    }

    /** The term of a message part as known here; zero where it is not. */
    public long term(String part) {
        return seats.term(part);
    }

    /** The shared buckets that this node holds. */
    public List<String> holds() {
        return holders.map(Holders::holds).orElse(List.of());
    }

    public Purses.Counts passes() {
        return purses.counts();
    }

    public Layouts layouts() {
        return layouts;
    }

    /** The way in for messages, for other doors than the gangway's. design 9.12 */
    public Intake intake() {
        return intake;
    }

    public Fetches fetches() {
        return fetches;
    }

    public Queries queries() {
        return queries;
    }

    public boolean draining() {
        return draining;
    }

    public Mono<Answer> answer(Request q) {
        return gangway.answer(q);
    }

    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("address", env.self());
        out.put("hall", boot.hall());
        out.put("roles", boot.roles());
        out.put("draining", draining);
        out.put("layout", layouts.fresh().map(Layouts.Known::version).orElse(-1L));
        out.put("passes", purses.counts());
        holders.ifPresent(h -> out.put("holds", Map.of("buckets", h.holds(), "asks", h.asks(), "granted", h.granted())));
        seats.status(out);
        return out;
    }

    @Override
    public void stop() {
        claiming.cancel();
        learning.cancel();
        launches.ifPresent(Launches::stop);
        berths.ifPresent(Berths::stop);
        holders.ifPresent(Holders::stop);
        purses.stop();
        news.stop();
    }
}
