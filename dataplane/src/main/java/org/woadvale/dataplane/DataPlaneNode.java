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
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.AdmissionTokens;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.TokenGranters;
import org.woadvale.common.replication.Env;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.DeliveryProtocol;
import org.woadvale.dataplane.delivery.NativeDeliveryProtocol;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.ingress.Fetches;
import org.woadvale.dataplane.ingress.IngressNode;
import org.woadvale.dataplane.ingress.Intake;
import org.woadvale.dataplane.ingress.Queries;
import reactor.core.publisher.Mono;

/** A pilot: intake, store or both, as its boot file says. design 1 */
public final class DataPlaneNode implements Component {
    private final Env env;
    private final Settings boot;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final ConfigurationView configurations;
    private final LocalBuckets localBuckets;
    private final Optional<TokenGranters> holders;
    private final Optional<StoreRole> store;
    private final PartitionReplicas members;
    private final IngressNode ingress;
    private final Intake intake;
    private final Fetches fetches;
    private final Queries queries;
    private final LeaseRenewal lease;
    private TimerHandle learning = () -> {};
    private volatile boolean draining;

    public DataPlaneNode(Env env, Settings boot, CoreClient core, DeliveryClient post) {
        this(env, boot, core, post, new NativeDeliveryProtocol());
    }

    public DataPlaneNode(Env env, Settings boot, CoreClient core, DeliveryClient post, DeliveryProtocol protocol) {
        this.env = env;
        this.boot = boot;
        this.core = core;
        this.subscriptions = new ViewSubscriptions(env, core, boot.zone());
        this.configurations = new ConfigurationView(subscriptions);
        this.localBuckets = new LocalBuckets(env, subscriptions);
        SubmitForwarder forwarder = new SubmitForwarder(env, subscriptions, boot.zone());
        this.holders = boot.roles().contains("intake")
                ? Optional.of(
                        new TokenGranters(env, core, subscriptions, configurations::allowance, configurations::buckets))
                : Optional.empty();
        this.store = boot.roles().contains(StoreRole.NAME)
                ? Optional.of(new StoreRole(
                        env, boot, subscriptions, configurations, localBuckets, forwarder, post, protocol))
                : Optional.empty();
        this.members = new PartitionReplicas(env, subscriptions, store.map(StoreRole::partitions));
        this.lease = new LeaseRenewal(env, boot, core, subscriptions, members);
        this.intake = new Intake(env, configurations, localBuckets, forwarder);
        this.fetches = new Fetches(env, subscriptions, configurations, forwarder, boot.zone(), () -> draining);
        this.queries = new Queries(configurations, forwarder);
        this.ingress = new IngressNode(
                env, configurations, intake, queries, forwarder, this::status, this::ready, this::drain);
    }

    @Override
    public String name() {
        return "pilot";
    }

    public void route(RpcRouter router) {
        router.on(ControlMessages.ViewAsk.class, (f, a) -> subscriptions.asked(a))
                .on(ControlMessages.CoreAsk.class, (f, a) -> Mono.just(core.reply()));
        holders.ifPresent(h -> router.on(AdmissionTokens.PassAsk.class, h::asked));
        store.ifPresent(s -> s.route(router));
        router.on(ControlMessages.PlacementChanged.class, (f, a) -> {
            subscriptions.refresh(ServiceNames.STORES, a.version());
            return Mono.just(new ControlMessages.Done(true));
        });
    }

    @Override
    public void start() throws ServiceException {
        subscriptions.start();
        localBuckets.start();
        holders.ifPresent(TokenGranters::start);
        if (store.isPresent()) {
            store.get().start();
        }
        lease.start();
        learning = env.schedules().every(Duration.ofSeconds(2), core::learn);
    }

    /**
     * Duties and partitions are given away first; a store that has a successor also waits until its replicas there
     * count. True once nothing is left here. design 6.9
     */
    public boolean drain() {
        if (!draining) {
            draining = true;
            holders.ifPresent(TokenGranters::drain);
            lease.leave();
        }
        boolean drained = store.map(StoreRole::drain).orElse(true) && !lease.successorAtWork();
        if (drained) {
            lease.left();
        }
        return drained;
    }

    /** No delivery that was begun here is still without its end. */
    public boolean idle() {
        return store.map(StoreRole::idle).orElse(true);
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.reseed(seeds);
    }

    public boolean ready() {
        return !draining
                && configurations.fresh().isPresent()
                && !subscriptions.latest(ServiceNames.STORES).placement().isEmpty()
                && store.map(StoreRole::ready).orElse(true);
    }

    public Map<String, Set<String>> groups() {
        return members.groups();
    }

    public int notVotingCount() {
        return members.notVoting().size();
    }

    /** The newest list of the core's members that is known here. */
    public CoreMembers core() {
        return core.members();
    }

    /** Each message partition here counts in its group. */
    public boolean promotedEverywhere() {
        return members.votingEverywhere();
    }

    /** How many message parts this node owns now. */
    public long owned() {
        return members.owned();
    }

    /** The term of a message part as known here; zero where it is not. */
    public long term(String part) {
        return members.term(part);
    }

    /** The shared buckets that this node holds. */
    public List<String> holds() {
        return holders.map(TokenGranters::holds).orElse(List.of());
    }

    public LocalBuckets.Counts passes() {
        return localBuckets.counts();
    }

    public ConfigurationView configurations() {
        return configurations;
    }

    /** The way in for messages, for other doors than the ingress's. design 9.12 */
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
        return ingress.answer(q);
    }

    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("address", env.self());
        out.put("hall", boot.zone());
        out.put("roles", boot.roles());
        out.put("draining", draining);
        out.put(
                "layout",
                configurations.fresh().map(ConfigurationView.Known::version).orElse(-1L));
        out.put("passes", localBuckets.counts());
        holders.ifPresent(
                h -> out.put("holds", Map.of("buckets", h.holds(), "asks", h.asks(), "granted", h.granted())));
        members.status(out);
        return out;
    }

    @Override
    public void stop() {
        lease.stop();
        learning.cancel();
        store.ifPresent(StoreRole::stop);
        holders.ifPresent(TokenGranters::stop);
        localBuckets.stop();
        subscriptions.stop();
    }
}
