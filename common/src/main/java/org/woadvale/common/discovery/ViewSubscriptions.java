package org.woadvale.common.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** The views of services to which a node subscribes, each with the proven age of its last confirmation (docs/design.md, section 7). */
public final class ViewSubscriptions {
    /** Maximum age of the last confirmation of a view that may be acted on. */
    public static final Duration MAX_AGE = Duration.ofSeconds(2);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
    private static final Duration INTEREST_TTL = Duration.ofSeconds(5);
    private static final Duration HOME_REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final Duration EARLY_POLL_LIMIT = Duration.ofMillis(100);
    private static final Duration HOME_BYPASS = Duration.ofSeconds(1);

    private final NodeEnvironment environment;
    private final CoreClient core;
    private final String zone;
    private final LockedShard shard = new LockedShard();
    private final ViewCompression compression = new ViewCompression();
    private final Map<String, SubscribedView> subscriptions = new HashMap<>();
    private final List<BiConsumer<String, ServiceView>> listeners = new ArrayList<>();
    private TimerHandle polling = () -> {};

    /** Creates the subscriptions of one node. */
    public ViewSubscriptions(NodeEnvironment environment, CoreClient core, String zone) {
        this.environment = environment;
        this.core = core;
        this.zone = zone;
    }

    /** Polls until {@link #stop}. */
    public void start() {
        List.of(ServiceNames.CONFIGURATION, ServiceNames.INTAKES, ServiceNames.STORES)
                .forEach(this::subscribe);
        poll();
        polling = environment.timers().every(POLL_INTERVAL, this::poll);
    }

    /** Stops polling; the views age from now on. */
    public void stop() {
        polling.cancel();
    }

    /** Adds a listener that is called with the name of the service and the view when a newer view arrives. */
    public void onView(BiConsumer<String, ServiceView> listener) {
        listeners.add(listener);
    }

    /** Subscribes to a service permanently. */
    public void subscribe(String service) {
        shard.run(() -> subscriptions.computeIfAbsent(service, SubscribedView::new).permanent = true);
    }

    /**
     * Returns the view of a service if its age is proven to be below the limit; empty otherwise. Subscribes to the service
     * for a while.
     */
    public Optional<ServiceView> fresh(String service) {
        return shard.get(() -> {
            SubscribedView subscribedView = touch(service);
            boolean usable = subscribedView.received && age(subscribedView).compareTo(MAX_AGE) < 0;
            return usable ? Optional.of(subscribedView.view) : Optional.empty();
        });
    }

    /**
     * Returns the latest known view, however old. Only for hints that another node verifies. Subscribes to the service for
     * a while.
     */
    public ServiceView latest(String service) {
        return shard.get(() -> touch(service).view);
    }

    /** Polls the core for one service at once, if waiting for the next poll would reject a request; rate-limited. */
    public void pollEarly(String service) {
        Map<String, Long> knownVersions = shard.get(() -> {
            SubscribedView subscribedView = touch(service);
            if (!subscribedView.lastEarlyPoll.isZero()
                    && now().minus(subscribedView.lastEarlyPoll).compareTo(EARLY_POLL_LIMIT) < 0) {
                return Map.<String, Long>of();
            }
            subscribedView.lastEarlyPoll = now();
            return Map.of(service, subscribedView.received ? subscribedView.view.version() : -1L);
        });
        if (!knownVersions.isEmpty()) {
            fetch(service, knownVersions);
        }
    }

    /** Fetches the view of a service from the core at once if the given version is newer than the known one. */
    public void refresh(String service, long version) {
        long knownVersion = latest(service).version();
        if (knownVersion < version) {
            fetch(service, Map.of(service, knownVersion));
        }
    }

    private void fetch(String service, Map<String, Long> knownVersions) {
        Duration sentAt = now();
        pollCore(ServiceNames.controlPartition(service), knownVersions)
                .subscribe(response -> adopt(response, sentAt), e -> {});
    }

    private SubscribedView touch(String service) {
        SubscribedView subscribedView = subscriptions.computeIfAbsent(service, SubscribedView::new);
        subscribedView.interestUntil = now().plus(INTEREST_TTL);
        return subscribedView;
    }

    private Duration now() {
        return environment.clock().monotonicTime();
    }

    private Duration age(SubscribedView subscribedView) {
        return now().minus(subscribedView.confirmed);
    }

    private Optional<String> homeNode(String service) {
        Map<String, MemberLease> members = new HashMap<>(members(ServiceNames.INTAKES));
        members.putAll(members(ServiceNames.STORES));
        return ServiceNames.rendezvousOwner(
                "home/" + ServiceNames.controlPartition(service),
                members.entrySet().stream()
                        .filter(entry -> entry.getValue().zone().equals(zone))
                        .map(Map.Entry::getKey)
                        .toList());
    }

    private Map<String, MemberLease> members(String role) {
        return Optional.ofNullable(subscriptions.get(role))
                .map(subscribedView -> subscribedView.view.members())
                .orElse(Map.of());
    }

    /** The known versions by service, for each home node and each control partition to poll. */
    private record Polls(Map<String, Map<String, Long>> byHome, Map<String, Map<String, Long>> byPartition) {}

    private void poll() {
        Polls polls = shard.get(this::duePolls);
        polls.byPartition().forEach(this::pollLeader);
        polls.byHome().forEach(this::pollHome);
    }

    private Polls duePolls() {
        subscriptions
                .values()
                .removeIf(subscription -> !subscription.permanent && now().compareTo(subscription.interestUntil) > 0);
        Polls polls = new Polls(new HashMap<>(), new HashMap<>());
        subscriptions.forEach((service, subscription) -> {
            Optional<String> home = homeNode(service);
            Map<String, Long> knownVersions = isPolledDirectly(subscription, home)
                    ? polls.byPartition()
                            .computeIfAbsent(ServiceNames.controlPartition(service), key -> new HashMap<>())
                    : polls.byHome().computeIfAbsent(home.orElseThrow(), key -> new HashMap<>());
            knownVersions.put(service, subscription.received ? subscription.view.version() : -1L);
        });
        return polls;
    }

    /** Polls the core for the first view after a start, as a home node may have an older view than this node had. */
    private boolean isPolledDirectly(SubscribedView subscription, Optional<String> home) {
        return !subscription.received
                || home.isEmpty()
                || home.get().equals(environment.self())
                || now().compareTo(subscription.bypassHomeUntil) < 0;
    }

    private void pollLeader(String partition, Map<String, Long> knownVersions) {
        Duration sentAt = now();
        pollCore(partition, knownVersions)
                .subscribe(
                        response -> {
                            adopt(response, sentAt);
                            core.onEpochSeen(response.coreEpoch(), core.likelyLeader(partition));
                        },
                        e -> {});
    }

    private void pollHome(String home, Map<String, Long> knownVersions) {
        Duration sentAt = now();
        environment
                .rpc()
                .call(
                        home,
                        new ControlMessages.ServiceViewRequest(knownVersions),
                        ControlMessages.ServiceViewResponse.class,
                        HOME_REQUEST_TIMEOUT)
                .flatMap(ViewSubscriptions::unpack)
                .subscribe(
                        response -> {
                            adopt(response, sentAt);
                            core.onEpochSeen(response.coreEpoch(), home);
                            bypassHomeIfOutdated(knownVersions, response);
                        },
                        e -> bypassHomeIfOutdated(
                                knownVersions, new ControlMessages.ServiceViewResponse(List.of(), Map.of(), 0)));
    }

    private Mono<ControlMessages.ServiceViewResponse> pollCore(String partition, Map<String, Long> knownVersions) {
        return core.ask(
                        partition,
                        new ControlMessages.ServiceViewRequest(knownVersions),
                        ControlMessages.ServiceViewResponse.class)
                .flatMap(ViewSubscriptions::unpack);
    }

    private static Mono<ControlMessages.ServiceViewResponse> unpack(ControlMessages.ServiceViewResponse response) {
        return Mono.fromCallable(() -> ViewCompression.unpack(response));
    }

    /** Bypasses a home node for a while if it did not return a view or returned an outdated one. */
    private void bypassHomeIfOutdated(
            Map<String, Long> requestedVersions, ControlMessages.ServiceViewResponse response) {
        shard.run(() -> requestedVersions.keySet().forEach(service -> {
            Duration age = response.ages().getOrDefault(service, MAX_AGE);
            Optional.ofNullable(subscriptions.get(service)).ifPresent(subscribedView -> {
                if (age.compareTo(MAX_AGE.dividedBy(2)) > 0) {
                    subscribedView.bypassHomeUntil = now().plus(HOME_BYPASS);
                }
            });
        }));
    }

    private void adopt(ControlMessages.ServiceViewResponse response, Duration sentAt) {
        Map<String, ServiceView> views = new HashMap<>();
        response.views().forEach(view -> views.put(view.service(), view));
        List<ServiceView> changed = new ArrayList<>();
        shard.run(() -> response.ages()
                .forEach((service, age) -> Optional.ofNullable(subscriptions.get(service))
                        .ifPresent(subscribedView -> {
                            ServiceView view = views.getOrDefault(service, subscribedView.view);
                            if (subscribedView.received && view.version() < subscribedView.view.version()) {
                                return;
                            }
                            if (!subscribedView.received && !views.containsKey(service)) {
                                return;
                            }
                            if (!subscribedView.received || view.version() > subscribedView.view.version()) {
                                subscribedView.view = view;
                                subscribedView.received = true;
                                changed.add(view);
                            }
                            Duration confirmed = sentAt.minus(age);
                            subscribedView.confirmed = confirmed.compareTo(subscribedView.confirmed) > 0
                                    ? confirmed
                                    : subscribedView.confirmed;
                        })));
        changed.forEach(view -> listeners.forEach(listener -> listener.accept(view.service(), view)));
    }

    /** Responds as a home node with the views that are fresh here and their ages; subscribes to the others. */
    public Mono<ControlMessages.ServiceViewResponse> onViewRequest(ControlMessages.ServiceViewRequest request) {
        return Mono.fromSupplier(() -> homeResponse(request))
                .flatMap(response -> compression.packOrError(request, response));
    }

    private ControlMessages.ServiceViewResponse homeResponse(ControlMessages.ServiceViewRequest request) {
        return shard.get(() -> {
            List<ServiceView> views = new ArrayList<>();
            Map<String, Duration> ages = new HashMap<>();
            request.knownVersions().forEach((service, version) -> {
                SubscribedView subscribedView = touch(service);
                if (subscribedView.received && age(subscribedView).compareTo(MAX_AGE) < 0) {
                    ages.put(service, age(subscribedView));
                    if (subscribedView.view.version() != version) {
                        views.add(subscribedView.view);
                    }
                }
            });
            return new ControlMessages.ServiceViewResponse(
                    views, ages, core.members().epoch());
        });
    }
}
