package org.woadvale.dataplane;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.woadvale.common.config.Settings;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.runtime.TimerHandle;

/**
 * Renews the membership leases of this node for each of its roles, and renews them at once when their content changes.
 * (docs/design.md, section 6.3, 6.9)
 */
final class LeaseRenewal {
    /** How long after its start a store that began with an empty disk counts as the successor of a leaving one. */
    private static final Duration NEWCOMER_PERIOD = Duration.ofSeconds(60);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private enum Presence {
        SERVING,
        LEAVING,
        LEFT
    }

    private final NodeEnvironment environment;
    private final Settings settings;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final PartitionReplicas replicas;
    private final String incarnation;
    private final AtomicReference<MemberLease> announced = new AtomicReference<>();
    private volatile Presence presence = Presence.SERVING;
    private volatile boolean startedEmpty;
    private volatile boolean placementSeen;
    private volatile boolean newcomer;
    private Duration startedAt = Duration.ZERO;
    private TimerHandle renewalTimer = () -> {};
    private TimerHandle changeTimer = () -> {};

    LeaseRenewal(
            NodeEnvironment environment,
            Settings settings,
            CoreClient core,
            ViewSubscriptions subscriptions,
            PartitionReplicas replicas) {
        this.environment = environment;
        this.settings = settings;
        this.core = core;
        this.subscriptions = subscriptions;
        this.replicas = replicas;
        this.incarnation = Long.toHexString(environment.random().getAsLong());
    }

    /** Starts the renewal; a store that has no partition now started with an empty disk. */
    void start() {
        startedAt = environment.clock().monotonicTime();
        startedEmpty = isStore() && replicas.groups().isEmpty();
        if (isStore()) {
            subscriptions.onView(this::onView);
            changeTimer = environment.timers().every(CHECK_INTERVAL, this::renewIfChanged);
        }
        renew();
        renewalTimer = environment.timers().every(ReplicationTiming.defaults().heartbeat(), this::renew);
    }

    private boolean isStore() {
        return settings.roles().contains("store");
    }

    /** A store that the first placement names lost its disk or is among the initial members; it is no newcomer. */
    private void onView(String service, ServiceView view) {
        if (!service.equals(ServiceNames.STORES) || placementSeen) {
            return;
        }
        placementSeen = true;
        newcomer = startedEmpty
                && !view.placement().isEmpty()
                && view.placement().values().stream().noneMatch(nodes -> nodes.contains(environment.self()));
        renewIfChanged();
    }

    private MemberLease lease() {
        boolean recent = environment.clock().monotonicTime().minus(startedAt).compareTo(NEWCOMER_PERIOD) < 0;
        return new MemberLease(
                settings.zone(),
                settings.http(),
                incarnation,
                replicas.notVoting(),
                presence == Presence.LEAVING,
                newcomer && recent,
                replicas.ledGroups());
    }

    private void renewIfChanged() {
        if (!lease().equals(announced.get())) {
            renew();
        }
    }

    private void renew() {
        MemberLease lease = lease();
        settings.roles().stream().filter(this::renews).forEach(role -> {
            String service = "role/" + role;
            core.ask(
                            ServiceNames.controlPartition(service),
                            new ControlMessages.RenewLeaseRequest(service, environment.self(), lease),
                            ControlMessages.UpdateResult.class)
                    .subscribe(done -> announced.set(lease), e -> {});
        });
    }

    /** A leaving store keeps its lease, marked as leaving; every other role is given up at once. */
    private boolean renews(String role) {
        return presence == Presence.SERVING || presence == Presence.LEAVING && role.equals("store");
    }

    /** Called when the node starts to drain. */
    void leave() {
        presence = Presence.LEAVING;
        settings.roles().stream().filter(role -> role.equals("intake")).forEach(this::giveUp);
        renew();
    }

    /** Gives up the store role, once no other node needs this store. */
    void leaveStoreRole() {
        if (presence != Presence.LEFT) {
            presence = Presence.LEFT;
            settings.roles().stream().filter(role -> role.equals("store")).forEach(this::giveUp);
        }
    }

    private void giveUp(String role) {
        String service = "role/" + role;
        core.ask(
                        ServiceNames.controlPartition(service),
                        new ControlMessages.LeaveRequest(service, environment.self()),
                        ControlMessages.UpdateResult.class)
                .subscribe(done -> {}, e -> {});
    }

    /** Whether a successor has yet to take over some of the replicas of this store. */
    boolean isSuccessorTakingOver() {
        Map<String, MemberLease> stores =
                subscriptions.latest(ServiceNames.STORES).members();
        List<String> otherStores = stores.keySet().stream()
                .filter(node -> !node.equals(environment.self()))
                .toList();
        return isStore()
                && otherStores.stream().anyMatch(node -> stores.get(node).newcomer())
                && !replicas.inNoGroup();
    }

    void stop() {
        renewalTimer.cancel();
        changeTimer.cancel();
    }
}
