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

/** A node's views of services, each with the proven age of its confirmation (docs/design.md, section 7). */
public final class ViewSubscriptions {
    /** A view whose confirmation is older than this is not acted on. */
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

    /** Subscriptions of one node. */
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

    /** Polls no more; views age from now on. */
    public void stop() {
        polling.cancel();
    }

    /** The listener runs for each view that is new here, with the name of its service. */
    public void onView(BiConsumer<String, ServiceView> listener) {
        listeners.add(listener);
    }

    /** Keeps the view of a service from now on. */
    public void subscribe(String service) {
        shard.run(() -> subscriptions.computeIfAbsent(service, SubscribedView::new).permanent = true);
    }

    /** The view if its age is proven to be under the limit; empty otherwise. Wants the service from now on. */
    public Optional<ServiceView> fresh(String service) {
        return shard.get(() -> {
            SubscribedView subscribedView = touch(service);
            boolean ok = subscribedView.received && age(subscribedView).compareTo(MAX_AGE) < 0;
            return ok ? Optional.of(subscribedView.view) : Optional.empty();
        });
    }

    /** Whatever is known, however old; only for guesses that are checked elsewhere. */
    public ServiceView latest(String service) {
        return shard.get(() -> touch(service).view);
    }

    /** ControlMessages the core for one service at once, when waiting for the next poll would refuse somebody. */
    public void pollEarly(String service) {
        Map<String, Long> known = shard.get(() -> {
            SubscribedView subscribedView = touch(service);
            if (!subscribedView.lastEarlyPoll.isZero()
                    && now().minus(subscribedView.lastEarlyPoll).compareTo(EARLY_POLL_LIMIT) < 0) {
                return Map.<String, Long>of();
            }
            subscribedView.lastEarlyPoll = now();
            return Map.of(service, subscribedView.received ? subscribedView.view.version() : -1L);
        });
        if (!known.isEmpty()) {
            fetch(service, known);
        }
    }

    /** A newer version is known to exist: it is fetched from the core at once. */
    public void refresh(String service, long version) {
        long known = latest(service).version();
        if (known < version) {
            fetch(service, Map.of(service, known));
        }
    }

    private void fetch(String service, Map<String, Long> known) {
        Duration sent = now();
        pollCore(ServiceNames.controlPartition(service), known).subscribe(response -> adopt(response, sent), e -> {});
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

    /** Versions that are known here, by whom they are asked of. */
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
            Map<String, Long> known = isPolledDirectly(subscription, home)
                    ? polls.byPartition().computeIfAbsent(ServiceNames.controlPartition(service), k -> new HashMap<>())
                    : polls.byHome().computeIfAbsent(home.orElseThrow(), k -> new HashMap<>());
            known.put(service, subscription.received ? subscription.view.version() : -1L);
        });
        return polls;
    }

    /** The first view after a start comes from the core: a home may know less than this node knew before. */
    private boolean isPolledDirectly(SubscribedView subscription, Optional<String> home) {
        return !subscription.received
                || home.isEmpty()
                || home.get().equals(environment.self())
                || now().compareTo(subscription.bypassHomeUntil) < 0;
    }

    private void pollLeader(String partition, Map<String, Long> known) {
        Duration sentAt = now();
        pollCore(partition, known)
                .subscribe(
                        response -> {
                            adopt(response, sentAt);
                            core.onEpochSeen(response.coreEpoch(), core.likelyLeader(partition));
                        },
                        e -> {});
    }

    private void pollHome(String home, Map<String, Long> known) {
        Duration sentAt = now();
        environment
                .rpc()
                .call(
                        home,
                        new ControlMessages.ServiceViewRequest(known),
                        ControlMessages.ServiceViewResponse.class,
                        HOME_REQUEST_TIMEOUT)
                .flatMap(ViewSubscriptions::unpacked)
                .subscribe(
                        response -> {
                            adopt(response, sentAt);
                            core.onEpochSeen(response.coreEpoch(), home);
                            bypassHome(known, response);
                        },
                        e -> bypassHome(known, new ControlMessages.ServiceViewResponse(List.of(), Map.of(), 0)));
    }

    private Mono<ControlMessages.ServiceViewResponse> pollCore(String partition, Map<String, Long> known) {
        return core.ask(
                        partition,
                        new ControlMessages.ServiceViewRequest(known),
                        ControlMessages.ServiceViewResponse.class)
                .flatMap(ViewSubscriptions::unpacked);
    }

    private static Mono<ControlMessages.ServiceViewResponse> unpacked(ControlMessages.ServiceViewResponse response) {
        return Mono.fromCallable(() -> ViewCompression.unpack(response));
    }

    /** A home that does not serve, or serves old subscriptions, is passed over for a while. */
    private void bypassHome(Map<String, Long> asked, ControlMessages.ServiceViewResponse response) {
        shard.run(() -> asked.keySet().forEach(service -> {
            Duration age = response.ages().getOrDefault(service, MAX_AGE);
            Optional.ofNullable(subscriptions.get(service)).ifPresent(subscribedView -> {
                if (age.compareTo(MAX_AGE.dividedBy(2)) > 0) {
                    subscribedView.bypassHomeUntil = now().plus(HOME_BYPASS);
                }
            });
        }));
    }

    private void adopt(ControlMessages.ServiceViewResponse response, Duration sent) {
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
                            Duration at = sent.minus(age);
                            subscribedView.confirmed =
                                    at.compareTo(subscribedView.confirmed) > 0 ? at : subscribedView.confirmed;
                        })));
        changed.forEach(view -> listeners.forEach(listener -> listener.accept(view.service(), view)));
    }

    /** As a home node: answers with the views that are here and their age, and subscribes to those that are not. */
    public Mono<ControlMessages.ServiceViewResponse> onViewRequest(ControlMessages.ServiceViewRequest request) {
        return Mono.fromSupplier(() -> byService(request))
                .flatMap(response -> compression.packOrError(request, response));
    }

    private ControlMessages.ServiceViewResponse byService(ControlMessages.ServiceViewRequest request) {
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
