package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.ratelimit.TokenGranters;
import org.woadvale.common.ratelimit.TokenMessages;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.common.wal.DisabledWriteAheadLog;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.testkit.simulation.Simulator;
import reactor.core.publisher.Mono;

/**
 * The control-plane side of a data node only: the production subscriptions, admission tokens and leases, wired as in
 * DataPlaneNode (design 6.3, 7, 8), without the HTTP gateway, messages or a disk.
 */
final class HollowNode {
    private static final Duration MEMBERS_REFRESH_INTERVAL = Duration.ofSeconds(2);
    private static final Duration FOLLOW_INTERVAL = Duration.ofSeconds(1);

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final ConfigurationView configurations;
    private final LocalBuckets localBuckets;
    private final Optional<TokenGranters> granters;
    private final String role;
    private final MemberLease memberLease;
    private final List<TimerHandle> timers = new ArrayList<>();

    HollowNode(
            HollowHost host, RpcClient rpc, Codec codec, Simulator sim, String zone, List<String> seeds, String role) {
        this.environment = new NodeEnvironment(
                host,
                host,
                rpc,
                codec,
                new DisabledWriteAheadLog(),
                sim.random()::nextLong,
                ReplicationTiming.defaults());
        this.core = new CoreClient(rpc, sim.random()::nextLong, seeds, CoreMembers.unknown(), members -> {});
        this.role = role;
        this.memberLease = new MemberLease(
                zone, host.address, Long.toHexString(sim.random().nextLong()), List.of());
        this.subscriptions = new ViewSubscriptions(environment, core, zone);
        this.configurations = new ConfigurationView(subscriptions);
        this.localBuckets = new LocalBuckets(environment, subscriptions);
        this.granters = role.equals(ServiceNames.INTAKES)
                ? Optional.of(new TokenGranters(
                        environment, core, subscriptions, configurations::admissionLimit, configurations::bucketNames))
                : Optional.empty();
        RpcRouter router = new RpcRouter();
        router.on(ControlMessages.ServiceViewRequest.class, (f, request) -> subscriptions.onViewRequest(request))
                .on(ControlMessages.CoreMembersRequest.class, (f, request) -> Mono.just(core.membersResponse()));
        granters.ifPresent(granters -> router.on(TokenMessages.TokenRequest.class, granters::onTokenRequest));
        host.serve(router);
    }

    /** Starts the node. A store follows the processor lists of its destinations, as Dispatchers does in each round. */
    void start(List<String> followed) {
        subscriptions.start();
        localBuckets.start();
        granters.ifPresent(TokenGranters::start);
        renewLease();
        timers.add(environment.timers().every(environment.timing().heartbeat(), this::renewLease));
        timers.add(environment.timers().every(MEMBERS_REFRESH_INTERVAL, core::refreshMembers));
        if (granters.isEmpty() && !followed.isEmpty()) {
            follow(followed);
            timers.add(environment.timers().every(FOLLOW_INTERVAL, () -> follow(followed)));
        }
    }

    private void follow(List<String> services) {
        services.forEach(subscriptions::latest);
    }

    private void renewLease() {
        core.ask(
                        ServiceNames.controlPartition(role),
                        new ControlMessages.RenewLeaseRequest(role, environment.self(), memberLease),
                        ControlMessages.UpdateResult.class)
                .subscribe(result -> {}, e -> {});
    }

    /** Acquires an admission token for one message and marks it as spent immediately. (docs/design.md, section 8.3) */
    void acquireToken(String bucket) {
        localBuckets
                .take(bucket, LocalBuckets.MAX_WAIT)
                .subscribe(token -> localBuckets.markSpent(bucket, token), e -> {});
    }

    LocalBuckets.Counts tokenCounts() {
        return localBuckets.counts();
    }

    /** Whether this node follows processor lists; only stores do. */
    boolean followsProcessorLists() {
        return granters.isEmpty();
    }

    int ownedBuckets() {
        return granters.map(granters -> granters.ownedBuckets().size()).orElse(0);
    }

    ServiceView latest(String service) {
        return subscriptions.latest(service);
    }

    /**
     * The version of the configuration that this node may use now, or -1 if none is known to be fresh.
     * (docs/design.md, section 7.2)
     */
    long configurationVersion() {
        return configurations
                .fresh()
                .map(ConfigurationView.IndexedConfiguration::version)
                .orElse(-1L);
    }

    int memberCount() {
        return subscriptions.latest(ServiceNames.INTAKES).members().size()
                + subscriptions.latest(ServiceNames.STORES).members().size();
    }

    /** The incarnation of a member in this node's view of the service; empty if the member is unknown. */
    String incarnationOf(String service, String node) {
        Map<String, MemberLease> members = subscriptions.latest(service).members();
        return members.containsKey(node) ? members.get(node).incarnation() : "";
    }

    String incarnation() {
        return memberLease.incarnation();
    }

    void stop() {
        timers.forEach(TimerHandle::cancel);
        granters.ifPresent(TokenGranters::stop);
        localBuckets.stop();
        subscriptions.stop();
    }
}
