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
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.ingress.IngressApi;
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
    private final PartitionReplicas replicas;
    private final IngressApi ingress;
    private final Intake intake;
    private final PullService pullService;
    private final MessageQueries queries;
    private final LeaseRenewal leaseRenewal;
    private TimerHandle memberRefreshTimer = () -> {};
    private volatile boolean draining;

    /** A node that delivers with the native delivery protocol. */
    public DataPlaneNode(NodeEnvironment environment, Settings settings, CoreClient core, DeliveryClient client) {
        this(environment, settings, core, client, new NativeDeliveryProtocol());
    }

    /** A node that delivers with the given protocol; it is inactive until {@link #start}. */
    public DataPlaneNode(
            NodeEnvironment environment,
            Settings settings,
            CoreClient core,
            DeliveryClient client,
            DeliveryProtocol protocol) {
        this.environment = environment;
        this.settings = settings;
        this.core = core;
        this.subscriptions = new ViewSubscriptions(environment, core, settings.zone());
        this.configurations = new ConfigurationView(subscriptions);
        this.localBuckets = new LocalBuckets(environment, subscriptions);
        PartitionClient forwarder = new PartitionClient(environment, subscriptions, settings.zone());
        this.granters = settings.roles().contains("intake")
                ? Optional.of(new TokenGranters(
                        environment, core, subscriptions, configurations::admissionLimit, configurations::bucketNames))
                : Optional.empty();
        this.store = settings.roles().contains(StoreRole.NAME)
                ? Optional.of(new StoreRole(
                        environment,
                        settings,
                        subscriptions,
                        configurations,
                        localBuckets,
                        forwarder,
                        client,
                        protocol))
                : Optional.empty();
        this.replicas = new PartitionReplicas(environment, subscriptions, store.map(StoreRole::partitions));
        this.leaseRenewal = new LeaseRenewal(environment, settings, core, subscriptions, replicas);
        this.intake = new Intake(environment, configurations, localBuckets, forwarder);
        this.pullService =
                new PullService(environment, subscriptions, configurations, forwarder, settings.zone(), () -> draining);
        this.queries = new MessageQueries(configurations, forwarder);
        this.ingress = new IngressApi(
                environment, configurations, intake, queries, forwarder, this::status, this::ready, this::drain);
    }

    @Override
    public String name() {
        return "dataplane";
    }

    /** Registers the handlers for requests of other nodes. */
    public void route(RpcRouter router) {
        router.on(ControlMessages.ServiceViewRequest.class, (from, request) -> subscriptions.onViewRequest(request))
                .on(ControlMessages.CoreMembersRequest.class, (from, request) -> Mono.just(core.membersResponse()));
        granters.ifPresent(granters -> router.on(TokenMessages.TokenRequest.class, granters::onTokenRequest));
        store.ifPresent(storeRole -> storeRole.route(router));
        router.on(ControlMessages.PlacementChanged.class, (from, change) -> {
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
        leaseRenewal.start();
        memberRefreshTimer = environment.timers().every(Duration.ofSeconds(2), core::refreshMembers);
    }

    /**
     * Releases the leases and transfers the leadership of the partitions of this node; a store that has a successor
     * also waits until the successor has replaced it in all groups. Returns true once that is done. The store role is
     * given up only when no delivery that was begun here is in flight any more. (docs/design.md, section 6.9)
     */
    public boolean drain() {
        if (!draining) {
            draining = true;
            granters.ifPresent(TokenGranters::drain);
            leaseRenewal.leave();
        }
        boolean drained = store.map(StoreRole::drain).orElse(true) && !leaseRenewal.isSuccessorTakingOver();
        if (drained && idle()) {
            leaseRenewal.leaveStoreRole();
        }
        return drained;
    }

    /** Whether the outcome of every delivery begun on this node is recorded. */
    public boolean idle() {
        return store.map(StoreRole::idle).orElse(true);
    }

    /** Begins no further delivery; those in flight go on. */
    public void endDeliveries() {
        store.ifPresent(StoreRole::endDeliveries);
    }

    /** Closes the connection of each delivery that has no answer yet; outcomes that were read are still recorded. */
    public void breakOffDeliveries() {
        store.ifPresent(StoreRole::breakOffDeliveries);
    }

    /** Replaces the seed addresses of the core while the node runs. */
    public void updateSeeds(List<String> seeds) {
        core.updateSeeds(seeds);
    }

    /** Whether this node is ready to serve callers and processors. */
    public boolean ready() {
        return !draining
                && configurations.fresh().isPresent()
                && !subscriptions.latest(ServiceNames.STORES).placement().isEmpty()
                && store.map(StoreRole::ready).orElse(true);
    }

    /** Returns the group members of each message partition on this store, as far as the store knows them. */
    public Map<String, Set<String>> partitionGroups() {
        return replicas.groups();
    }

    /** Returns the number of replicas that the placement assigns to this store and that do not vote yet. */
    public int notVotingCount() {
        return replicas.notVoting().size();
    }

    /** Returns the newest list of core members that this node knows. */
    public CoreMembers core() {
        return core.members();
    }

    /** Whether each replica on this node votes in its group. */
    public boolean votingEverywhere() {
        return replicas.votingEverywhere();
    }

    /** Returns the number of message partitions that this node leads. */
    public long ledPartitionCount() {
        return replicas.ledPartitionCount();
    }

    /** Returns the term of a message partition, or zero if it has no replica on this node. */
    public long term(String partition) {
        return replicas.term(partition);
    }

    /** Returns the shared buckets that this node owns. */
    public List<String> ownedBuckets() {
        return granters.map(TokenGranters::ownedBuckets).orElse(List.of());
    }

    /** Returns the counts of requests for tokens by their result. */
    public LocalBuckets.Counts tokenCounts() {
        return localBuckets.counts();
    }

    /** Returns the view of the configuration in force. */
    public ConfigurationView configurations() {
        return configurations;
    }

    /** Returns the intake, for APIs other than the native ingress API. (docs/design.md, section 9.12) */
    public Intake intake() {
        return intake;
    }

    /** Returns the service through which processors pull messages. */
    public PullService pullService() {
        return pullService;
    }

    /** Returns the service that looks up messages. */
    public MessageQueries queries() {
        return queries;
    }

    /** Whether this node is draining. */
    public boolean draining() {
        return draining;
    }

    /** Handles an HTTP request. */
    public Mono<Response> handle(Request request) {
        return ingress.handle(request);
    }

    /** Returns the status of this node for operators. */
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
        replicas.status(out);
        return out;
    }

    @Override
    public void stop() {
        leaseRenewal.stop();
        memberRefreshTimer.cancel();
        store.ifPresent(StoreRole::stop);
        granters.ifPresent(TokenGranters::stop);
        localBuckets.stop();
        subscriptions.stop();
    }
}
