package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.ratelimit.AdmissionTokens;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.TokenGranters;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.wal.DisabledWriteAheadLog;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.testkit.simulation.Sim;
import reactor.core.publisher.Mono;

/**
 * What a pilot does for control and nothing else: the shipped news, passes and claims, put together as DataPlaneNode does
 * (design 6.3, 7, 8), without callers' HTTP, messages or a disk.
 */
final class HollowNode {
    private static final Duration LEARN = Duration.ofSeconds(2);
    private static final Duration FOLLOW = Duration.ofSeconds(1);

    private final Env env;
    private final CoreClient core;
    private final ViewSubscriptions news;
    private final ConfigurationView layouts;
    private final LocalBuckets purses;
    private final Optional<TokenGranters> holders;
    private final String role;
    private final MemberLease seat;
    private final List<TimerHandle> running = new java.util.ArrayList<>();

    HollowNode(HollowHost host, RpcClient beam, Codec codec, Sim sim, String hall, List<String> seeds, String role) {
        this.env = new Env(
                host,
                host,
                beam,
                codec,
                new DisabledWriteAheadLog(),
                sim.random()::nextLong,
                ReplicationTiming.usual());
        this.core = new CoreClient(beam, sim.random()::nextLong, seeds, List.of(), l -> {});
        this.role = role;
        this.seat = new MemberLease(
                hall, host.address, Long.toHexString(sim.random().nextLong()), List.of());
        this.news = new ViewSubscriptions(env, core, hall);
        this.layouts = new ConfigurationView(news);
        this.purses = new LocalBuckets(env, news);
        this.holders = role.equals(ServiceNames.INTAKES)
                ? Optional.of(new TokenGranters(env, core, news, layouts::allowance, layouts::buckets))
                : Optional.empty();
        RpcRouter router = new RpcRouter();
        router.on(ControlMessages.NewsAsk.class, (f, a) -> news.asked(a))
                .on(
                        ControlMessages.CoreAsk.class,
                        (f, a) -> Mono.just(new ControlMessages.CoreReply(core.lighthouses())));
        holders.ifPresent(h -> router.on(AdmissionTokens.PassAsk.class, h::asked));
        host.serve(router);
    }

    /** A store follows the lists of the processors that it sends to, as Dispatchers does in each round. */
    void start(List<String> followed) {
        news.start();
        purses.start();
        holders.ifPresent(TokenGranters::start);
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
        core.ask(
                        ServiceNames.controlPart(role),
                        new ControlMessages.ClaimAsk(role, env.self(), seat),
                        ControlMessages.Done.class)
                .subscribe(d -> {}, e -> {});
    }

    /** One pass for one message, settled at once. design 8.3 */
    void draw(String bucket) {
        purses.take(bucket, LocalBuckets.WAIT).subscribe(p -> purses.settle(bucket, p), e -> {});
    }

    LocalBuckets.Counts passes() {
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
        return layouts.fresh().map(ConfigurationView.Known::version).orElse(-1L);
    }

    int members() {
        return news.latest(ServiceNames.INTAKES).seats().size()
                + news.latest(ServiceNames.STORES).seats().size();
    }

    /** The incarnation that the node's own view of its role shows for a member; empty where it has none. */
    String incarnationOf(String service, String node) {
        Map<String, MemberLease> seats = news.latest(service).seats();
        return seats.containsKey(node) ? seats.get(node).incarnation() : "";
    }

    String incarnation() {
        return seat.incarnation();
    }

    void stop() {
        running.forEach(TimerHandle::cancel);
        holders.ifPresent(TokenGranters::stop);
        purses.stop();
        news.stop();
    }
}
