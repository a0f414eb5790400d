package org.woadvale.dataplane;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.config.Settings;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.http.Answer;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.AdmissionTokens;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.RateLimit;
import org.woadvale.common.ratelimit.TokenGranters;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.DeliveryProtocol;
import org.woadvale.dataplane.delivery.DispatchContext;
import org.woadvale.dataplane.delivery.Dispatchers;
import org.woadvale.dataplane.delivery.NativeDeliveryProtocol;
import org.woadvale.dataplane.delivery.Recorder;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.delivery.Targets;
import org.woadvale.dataplane.ingress.Fetches;
import org.woadvale.dataplane.ingress.IngressNode;
import org.woadvale.dataplane.ingress.Intake;
import org.woadvale.dataplane.ingress.Queries;
import org.woadvale.dataplane.queue.MessagePartitions;
import reactor.core.publisher.Mono;

/** A pilot: intake, store or both, as its boot file says. design 1 */
public final class DataPlaneNode implements Component {
    private static final RateLimit STORE_UNITS = new RateLimit(8000, 16000);
    private static final RateLimit PART_UNITS = new RateLimit(2000, 8000);

    private final Env env;
    private final Settings boot;
    private final CoreClient core;
    private final ViewSubscriptions news;
    private final ConfigurationView layouts;
    private final LocalBuckets purses;
    private final Optional<TokenGranters> holders;
    private final Optional<MessagePartitions> berths;
    private final Optional<Dispatchers> launches;
    private final PartitionReplicas seats;
    private final IngressNode gangway;
    private final Intake intake;
    private final Fetches fetches;
    private final Queries queries;
    private final String incarnation;
    private TimerHandle claiming = () -> {};
    private TimerHandle learning = () -> {};
    private volatile boolean draining;

    public DataPlaneNode(Env env, Settings boot, CoreClient core, DeliveryClient post) {
        this(env, boot, core, post, new NativeDeliveryProtocol());
    }

    public DataPlaneNode(Env env, Settings boot, CoreClient core, DeliveryClient post, DeliveryProtocol speech) {
        this.env = env;
        this.boot = boot;
        this.core = core;
        this.incarnation = Long.toHexString(env.random().getAsLong());
        this.news = new ViewSubscriptions(env, core, boot.hall());
        this.layouts = new ConfigurationView(news);
        this.purses = new LocalBuckets(env, news);
        SubmitForwarder courier = new SubmitForwarder(env, news, boot.hall());
        this.holders = boot.roles().contains("intake")
                ? Optional.of(new TokenGranters(env, core, news, layouts::allowance, layouts::buckets))
                : Optional.empty();
        this.berths = boot.roles().contains("store")
                ? Optional.of(new MessagePartitions(
                        env,
                        news,
                        STORE_UNITS,
                        PART_UNITS,
                        (long) boot.partMb() << 20,
                        Duration.ofSeconds(boot.keepEndedS())))
                : Optional.empty();
        this.seats = new PartitionReplicas(env, news, berths);
        this.launches = berths.map(b -> new Dispatchers(new DispatchContext(
                env,
                news,
                layouts,
                purses,
                b,
                new Targets(env),
                post,
                speech,
                new Recorder(env, courier),
                Duration.ofMillis(boot.leaseMs()),
                boot.hall())));
        this.intake = new Intake(env, layouts, purses, courier);
        this.fetches = new Fetches(env, news, layouts, courier, boot.hall(), () -> draining);
        this.queries = new Queries(layouts, courier);
        this.gangway = new IngressNode(env, layouts, intake, queries, courier, this::status, this::ready, this::drain);
    }

    @Override
    public String name() {
        return "pilot";
    }

    public void route(RpcRouter router) {
        router.on(ControlMessages.NewsAsk.class, (f, a) -> news.asked(a))
                .on(
                        ControlMessages.CoreAsk.class,
                        (f, a) -> Mono.just(new ControlMessages.CoreReply(core.lighthouses())));
        holders.ifPresent(h -> router.on(AdmissionTokens.PassAsk.class, h::asked));
        berths.ifPresent(b -> b.route(router));
        launches.ifPresent(l -> l.route(router));
    }

    @Override
    public void start() throws ServiceException {
        news.start();
        purses.start();
        holders.ifPresent(TokenGranters::start);
        if (berths.isPresent()) {
            launches.ifPresent(l -> berths.get().onOpen(l::opened));
            berths.get().start();
            launches.ifPresent(Dispatchers::start);
        }
        claim();
        claiming = env.schedules().every(ReplicationTiming.usual().renew(), this::claim);
        learning = env.schedules().every(Duration.ofSeconds(2), core::learn);
    }

    /** A member while it renews its claim: design 6.3. */
    private void claim() {
        if (draining) {
            return;
        }
        MemberLease seat = new MemberLease(boot.hall(), boot.http(), incarnation, seats.unseated());
        boot.roles().forEach(role -> {
            String service = "role/" + role;
            core.ask(
                            ServiceNames.controlPart(service),
                            new ControlMessages.ClaimAsk(service, env.self(), seat),
                            ControlMessages.Done.class)
                    .subscribe(d -> {}, e -> {});
        });
    }

    /** Duties and parts are given away first; true once nothing is left here. */
    public boolean drain() {
        if (!draining) {
            draining = true;
            holders.ifPresent(TokenGranters::drain);
            boot.roles().stream().filter(r -> r.equals("intake")).forEach(role -> {
                String service = "role/" + role;
                core.ask(
                                ServiceNames.controlPart(service),
                                new ControlMessages.LeaveAsk(service, env.self()),
                                ControlMessages.Done.class)
                        .subscribe(d -> {}, e -> {});
            });
        }
        return berths.map(MessagePartitions::drain).orElse(true);
    }

    /** No delivery that was begun here is still without its end. */
    public boolean idle() {
        return launches.map(Dispatchers::idle).orElse(true);
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.reseed(seeds);
    }

    public boolean ready() {
        return !draining
                && layouts.fresh().isPresent()
                && !news.latest(ServiceNames.STORES).placement().isEmpty()
                && berths.map(b -> b.all().values().stream()
                                .allMatch(x -> x.replica().owner().isPresent()))
                        .orElse(true);
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
        return holders.map(TokenGranters::holds).orElse(List.of());
    }

    public LocalBuckets.Counts passes() {
        return purses.counts();
    }

    public ConfigurationView layouts() {
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
        out.put("layout", layouts.fresh().map(ConfigurationView.Known::version).orElse(-1L));
        out.put("passes", purses.counts());
        holders.ifPresent(
                h -> out.put("holds", Map.of("buckets", h.holds(), "asks", h.asks(), "granted", h.granted())));
        seats.status(out);
        return out;
    }

    @Override
    public void stop() {
        claiming.cancel();
        learning.cancel();
        launches.ifPresent(Dispatchers::stop);
        berths.ifPresent(MessagePartitions::stop);
        holders.ifPresent(TokenGranters::stop);
        purses.stop();
        news.stop();
    }
}
