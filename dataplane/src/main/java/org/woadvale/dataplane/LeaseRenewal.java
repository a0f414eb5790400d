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
 * Keeps this node a member of its roles while it serves, and tells the core at once what changed. (docs/design.md,
 * section 6.3, 6.9)
 */
final class LeaseRenewal {
    /** A store that began with an empty disk is taken for the successor of one that leaves for so long. */
    private static final Duration NEWCOMER = Duration.ofSeconds(60);

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
    private volatile boolean beganEmpty;
    private volatile boolean sawPlacement;
    private volatile boolean newcomer;
    private Duration started = Duration.ZERO;
    private TimerHandle renewing = () -> {};
    private TimerHandle checking = () -> {};

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

    /** A store began with an empty disk if it holds no partition yet. */
    void start() {
        started = environment.clock().monotonicTime();
        beganEmpty = isStore() && replicas.groups().isEmpty();
        if (isStore()) {
            subscriptions.onView(this::sawView);
            checking = environment.timers().every(CHECK_INTERVAL, this::renewIfChanged);
        }
        renew();
        renewing = environment.timers().every(ReplicationTiming.defaults().heartbeat(), this::renew);
    }

    private boolean isStore() {
        return settings.roles().contains("store");
    }

    /** A store whose partitions are founded with it, or that lost its disk, is no newcomer. */
    private void sawView(String service, ServiceView view) {
        if (!service.equals(ServiceNames.STORES) || sawPlacement) {
            return;
        }
        sawPlacement = true;
        newcomer = beganEmpty
                && !view.placement().isEmpty()
                && view.placement().values().stream().noneMatch(replicas -> replicas.contains(environment.self()));
        renewIfChanged();
    }

    private MemberLease lease() {
        boolean recent = environment.clock().monotonicTime().minus(started).compareTo(NEWCOMER) < 0;
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

    /** A leaving store serves on and says so; every other role is given up at once. */
    private boolean renews(String role) {
        return presence == Presence.SERVING || presence == Presence.LEAVING && role.equals("store");
    }

    /** The node is draining. */
    void leave() {
        presence = Presence.LEAVING;
        settings.roles().stream().filter(role -> role.equals("intake")).forEach(this::giveUp);
        renew();
    }

    /** The node holds nothing more that others need, or its time is over. */
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

    /** Another store stands ready to take over the replicas of this one, and has not taken over all of them. */
    boolean isSuccessorTakingOver() {
        Map<String, MemberLease> stores =
                subscriptions.latest(ServiceNames.STORES).members();
        List<String> others = stores.keySet().stream()
                .filter(node -> !node.equals(environment.self()))
                .toList();
        return isStore() && others.stream().anyMatch(node -> stores.get(node).newcomer()) && !replicas.inNoGroup();
    }

    void stop() {
        renewing.cancel();
        checking.cancel();
    }
}
