package org.woadvale.dataplane;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.config.Settings;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.TokenGranters;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.delivery.DeliveryProtocol;
import org.woadvale.dataplane.delivery.NativeDeliveryProtocol;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.ingress.IngressNode;
import org.woadvale.dataplane.ingress.Intake;
import org.woadvale.dataplane.ingress.MessageQueries;
import org.woadvale.dataplane.ingress.PullService;
import reactor.core.publisher.Mono;

/** A data plane node: intake, store or both, as its boot file says. (docs/design.md, section 1) */
public final class DataPlaneNode implements Component {
    private final NodeEnvironment environment;
    private final Settings settings;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final ConfigurationView configurations;
    private final LocalBuckets localBuckets;
    private final Optional<TokenGranters> granters;
    private final Optional<StoreRole> store;
    private final PartitionReplicas members;
    private final IngressNode ingress;
    private final Intake intake;
    private final PullService pullService;
    private final MessageQueries queries;
    private final LeaseRenewal lease;
    private TimerHandle refreshing = () -> {};
    private volatile boolean draining;

    /** A node that delivers by the product's own protocol. */
    public DataPlaneNode(NodeEnvironment environment, Settings boot, CoreClient core, DeliveryClient post) {
        this(environment, boot, core, post, new NativeDeliveryProtocol());
    }

    /** A node that is not started yet. */
    public DataPlaneNode(
            NodeEnvironment environment,
            Settings boot,
            CoreClient core,
            DeliveryClient post,
            DeliveryProtocol protocol) {
        this.environment = environment;
        this.settings = boot;
        this.core = core;
        this.subscriptions = new ViewSubscriptions(environment, core, boot.zone());
        this.configurations = new ConfigurationView(subscriptions);
        this.localBuckets = new LocalBuckets(environment, subscriptions);
        SubmitForwarder forwarder = new SubmitForwarder(environment, subscriptions, boot.zone());
        this.granters = boot.roles().contains("intake")
                ? Optional.of(new TokenGranters(
                        environment, core, subscriptions, configurations::admissionLimit, configurations::bucketNames))
                : Optional.empty();
        this.store = boot.roles().contains(StoreRole.NAME)
                ? Optional.of(new StoreRole(
                        environment, boot, subscriptions, configurations, localBuckets, forwarder, post, protocol))
                : Optional.empty();
        this.members = new PartitionReplicas(environment, subscriptions, store.map(StoreRole::partitions));
        this.lease = new LeaseRenewal(environment, boot, core, subscriptions, members);
        this.intake = new Intake(environment, configurations, localBuckets, forwarder);
        this.pullService =
                new PullService(environment, subscriptions, configurations, forwarder, boot.zone(), () -> draining);
        this.queries = new MessageQueries(configurations, forwarder);
        this.ingress = new IngressNode(
                environment, configurations, intake, queries, forwarder, this::status, this::ready, this::drain);
    }

    @Override
    public String name() {
        return "dataplane";
    }

    /** What this node answers to other nodes. */
    public void route(RpcRouter router) {
        router.on(ControlMessages.ServiceViewRequest.class, (f, request) -> subscriptions.onViewRequest(request))
                .on(ControlMessages.CoreMembersRequest.class, (f, request) -> Mono.just(core.membersResponse()));
        granters.ifPresent(granters -> router.on(TokenMessages.TokenRequest.class, granters::onTokenRequest));
        store.ifPresent(storeRole -> storeRole.route(router));
        router.on(ControlMessages.PlacementChanged.class, (f, change) -> {
            subscriptions.refresh(ServiceNames.STORES, change.version());
            return Mono.just(new ControlMessages.UpdateResult(true));
        });
    }

    @Override
    public void start() throws ServiceException {
        subscriptions.start();
        localBuckets.start();
        granters.ifPresent(TokenGranters::start);
        if (store.isPresent()) {
            store.get().start();
        }
        lease.start();
        refreshing = environment.timers().every(Duration.ofSeconds(2), core::refreshMembers);
    }

    /**
     * Duties and partitions are given away first; a store that has a successor also waits until its replicas there
     * count. True once nothing is left here. (docs/design.md, section 6.9)
     */
    public boolean drain() {
        if (!draining) {
            draining = true;
            granters.ifPresent(TokenGranters::drain);
            lease.leave();
        }
        boolean drained = store.map(StoreRole::drain).orElse(true) && !lease.isSuccessorTakingOver();
        if (drained) {
            lease.leaveStoreRole();
        }
        return drained;
    }

    /** No delivery that was begun here is still without its end. */
    public boolean idle() {
        return store.map(StoreRole::idle).orElse(true);
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.updateSeeds(seeds);
    }

    /** Whether callers and processors may be sent here. */
    public boolean ready() {
        return !draining
                && configurations.fresh().isPresent()
                && !subscriptions.latest(ServiceNames.STORES).placement().isEmpty()
                && store.map(StoreRole::ready).orElse(true);
    }

    /** The members of each message partition's group that this store knows. */
    public Map<String, Set<String>> partitionGroups() {
        return members.groups();
    }

    /** How many replicas of this store do not vote although the placement names them. */
    public int notVotingCount() {
        return members.notVoting().size();
    }

    /** The newest list of the core's members that is known here. */
    public CoreMembers core() {
        return core.members();
    }

    /** Each message partition here counts in its group. */
    public boolean votingEverywhere() {
        return members.votingEverywhere();
    }

    /** How many message partitions this node owns now. */
    public long ledPartitionCount() {
        return members.ledPartitionCount();
    }

    /** The term of a message partition as known here; zero where it is not. */
    public long term(String partition) {
        return members.term(partition);
    }

    /** The shared buckets that this node holds. */
    public List<String> ownedBuckets() {
        return granters.map(TokenGranters::ownedBuckets).orElse(List.of());
    }

    /** What came of the requests for tokens. */
    public LocalBuckets.Counts tokenCounts() {
        return localBuckets.counts();
    }

    /** The configuration in force. */
    public ConfigurationView configurations() {
        return configurations;
    }

    /** The way in for messages, for other doors than the ingress's. (docs/design.md, section 9.12) */
    public Intake intake() {
        return intake;
    }

    /** Pulls of processors by way of this node. */
    public PullService pullService() {
        return pullService;
    }

    /** Queries for messages by way of this node. */
    public MessageQueries queries() {
        return queries;
    }

    /** Whether this node was asked to drain. */
    public boolean draining() {
        return draining;
    }

    /** Answers an HTTP request. */
    public Mono<Response> handle(Request request) {
        return ingress.handle(request);
    }

    /** What this node knows of itself, for people. */
    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("address", environment.self());
        out.put("hall", settings.zone());
        out.put("roles", settings.roles());
        out.put("draining", draining);
        out.put(
                "layout",
                configurations
                        .fresh()
                        .map(ConfigurationView.IndexedConfiguration::version)
                        .orElse(-1L));
        out.put("passes", localBuckets.counts());
        granters.ifPresent(granters -> out.put(
                "holds",
                Map.of(
                        "buckets",
                        granters.ownedBuckets(),
                        "asks",
                        granters.requestCount(),
                        "granted",
                        granters.grantedCount())));
        members.status(out);
        return out;
    }

    @Override
    public void stop() {
        lease.stop();
        refreshing.cancel();
        store.ifPresent(StoreRole::stop);
        granters.ifPresent(TokenGranters::stop);
        localBuckets.stop();
        subscriptions.stop();
    }
}
