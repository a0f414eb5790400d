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
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** A node's views of services, each with the proven age of its confirmation: design 7. */
public final class ViewSubscriptions {
    public static final Duration FRESH = Duration.ofSeconds(2);
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final Duration INTEREST = Duration.ofSeconds(5);
    private static final Duration HOME_ASK = Duration.ofMillis(300);
    private static final Duration HURRY = Duration.ofMillis(100);
    private static final Duration DISTRUST = Duration.ofSeconds(1);

    private final Env env;
    private final CoreClient core;
    private final String zone;
    private final LockedShard shard = new LockedShard();
    private final ViewCompression compression = new ViewCompression();
    private final Map<String, Followed> all = new HashMap<>();
    private final List<BiConsumer<String, ServiceView>> listeners = new ArrayList<>();
    private TimerHandle polling = () -> {};

    public ViewSubscriptions(Env env, CoreClient core, String zone) {
        this.env = env;
        this.core = core;
        this.zone = zone;
    }

    public void start() {
        List.of(ServiceNames.CONFIGURATION, ServiceNames.INTAKES, ServiceNames.STORES)
                .forEach(this::always);
        poll();
        polling = env.schedules().every(PERIOD, this::poll);
    }

    public void stop() {
        polling.cancel();
    }

    public void onView(BiConsumer<String, ServiceView> l) {
        listeners.add(l);
    }

    public void always(String service) {
        shard.run(() -> all.computeIfAbsent(service, Followed::new).always = true);
    }

    /** The view if its age is proven to be under the limit; empty otherwise. Wants the service from now on. */
    public Optional<ServiceView> fresh(String service) {
        return shard.get(() -> {
            Followed f = want(service);
            boolean ok = f.any && age(f).compareTo(FRESH) < 0;
            return ok ? Optional.of(f.view) : Optional.empty();
        });
    }

    /** Whatever is known, however old; only for guesses that are checked elsewhere. */
    public ServiceView latest(String service) {
        return shard.get(() -> want(service).view);
    }

    /** ControlMessages the core for one service at once, when waiting for the next poll would refuse somebody. */
    public void hurry(String service) {
        Map<String, Long> known = shard.get(() -> {
            Followed f = want(service);
            if (!f.hurried.isZero() && now().minus(f.hurried).compareTo(HURRY) < 0) {
                return Map.<String, Long>of();
            }
            f.hurried = now();
            return Map.of(service, f.any ? f.view.version() : -1L);
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
        askCore(ServiceNames.controlPart(service), known).subscribe(r -> took(r, sent), e -> {});
    }

    private Followed want(String service) {
        Followed f = all.computeIfAbsent(service, Followed::new);
        f.wantedUntil = now().plus(INTEREST);
        return f;
    }

    private Duration now() {
        return env.times().mono();
    }

    private Duration age(Followed f) {
        return now().minus(f.confirmed);
    }

    private Optional<String> home(String service) {
        Map<String, MemberLease> members = new HashMap<>(members(ServiceNames.INTAKES));
        members.putAll(members(ServiceNames.STORES));
        return ServiceNames.draw(
                "home/" + ServiceNames.controlPart(service),
                members.entrySet().stream()
                        .filter(e -> e.getValue().zone().equals(zone))
                        .map(Map.Entry::getKey)
                        .toList());
    }

    private Map<String, MemberLease> members(String role) {
        return Optional.ofNullable(all.get(role)).map(f -> f.view.members()).orElse(Map.of());
    }

    private void poll() {
        Map<String, Map<String, Long>> byHome = new HashMap<>();
        Map<String, Map<String, Long>> byPart = new HashMap<>();
        shard.run(() -> {
            all.values().removeIf(f -> !f.always && now().compareTo(f.wantedUntil) > 0);
            all.forEach((s, f) -> {
                Optional<String> home = home(s);
                // the first view after a start comes from the core: a home may know less than we knew before. design
                // 7.1
                boolean direct =
                        !f.any || home.isEmpty() || home.get().equals(env.self()) || now().compareTo(f.directUntil) < 0;
                (direct
                                ? byPart.computeIfAbsent(ServiceNames.controlPart(s), k -> new HashMap<>())
                                : byHome.computeIfAbsent(home.get(), k -> new HashMap<>()))
                        .put(s, f.any ? f.view.version() : -1L);
            });
        });
        byPart.forEach((part, known) -> {
            Duration sent = now();
            askCore(part, known)
                    .subscribe(
                            r -> {
                                took(r, sent);
                                core.seenEpoch(r.coreEpoch(), core.guess(part));
                            },
                            e -> {});
        });
        byHome.forEach((home, known) -> {
            Duration sent = now();
            env.rpc()
                    .ask(home, new ControlMessages.ViewAsk(known), ControlMessages.ViewReply.class, HOME_ASK)
                    .flatMap(ViewSubscriptions::unpacked)
                    .subscribe(
                            r -> {
                                took(r, sent);
                                core.seenEpoch(r.coreEpoch(), home);
                                distrust(known, r);
                            },
                            e -> distrust(known, new ControlMessages.ViewReply(List.of(), Map.of(), 0)));
        });
    }

    private Mono<ControlMessages.ViewReply> askCore(String part, Map<String, Long> known) {
        return core.ask(part, new ControlMessages.ViewAsk(known), ControlMessages.ViewReply.class)
                .flatMap(ViewSubscriptions::unpacked);
    }

    private static Mono<ControlMessages.ViewReply> unpacked(ControlMessages.ViewReply reply) {
        return Mono.fromCallable(() -> ViewCompression.unpack(reply));
    }

    /** A home that does not serve, or serves old subscriptions, is passed over for a while. */
    private void distrust(Map<String, Long> asked, ControlMessages.ViewReply r) {
        shard.run(() -> asked.keySet().forEach(s -> {
            Duration age = r.ages().getOrDefault(s, FRESH);
            Optional.ofNullable(all.get(s)).ifPresent(f -> {
                if (age.compareTo(FRESH.dividedBy(2)) > 0) {
                    f.directUntil = now().plus(DISTRUST);
                }
            });
        }));
    }

    private void took(ControlMessages.ViewReply r, Duration sent) {
        Map<String, ServiceView> views = new HashMap<>();
        r.views().forEach(v -> views.put(v.service(), v));
        List<ServiceView> changed = new ArrayList<>();
        shard.run(() -> r.ages()
                .forEach((s, age) -> Optional.ofNullable(all.get(s)).ifPresent(f -> {
                    ServiceView v = views.getOrDefault(s, f.view);
                    if (f.any && v.version() < f.view.version()) {
                        return;
                    }
                    if (!f.any && !views.containsKey(s)) {
                        return;
                    }
                    if (!f.any || v.version() > f.view.version()) {
                        f.view = v;
                        f.any = true;
                        changed.add(v);
                    }
                    Duration at = sent.minus(age);
                    f.confirmed = at.compareTo(f.confirmed) > 0 ? at : f.confirmed;
                })));
        changed.forEach(v -> listeners.forEach(l -> l.accept(v.service(), v)));
    }

    /** As a home node: what is held, with its age; what is not held yet is followed from now on. */
    public Mono<ControlMessages.ViewReply> asked(ControlMessages.ViewAsk ask) {
        return Mono.fromSupplier(() -> held(ask)).map(reply -> compression.pack(ask, reply));
    }

    private ControlMessages.ViewReply held(ControlMessages.ViewAsk ask) {
        return shard.get(() -> {
            List<ServiceView> views = new ArrayList<>();
            Map<String, Duration> ages = new HashMap<>();
            ask.known().forEach((s, version) -> {
                Followed f = want(s);
                if (f.any && age(f).compareTo(FRESH) < 0) {
                    ages.put(s, age(f));
                    if (f.view.version() != version) {
                        views.add(f.view);
                    }
                }
            });
            return new ControlMessages.ViewReply(views, ages, core.members().epoch());
        });
    }
}
