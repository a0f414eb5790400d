package org.woadvale.common.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.LeaderDuty;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.LockedShard;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** The admission node: holds the aggregate buckets that the ring draws to it, each by lease and term. design 8.4 */
public final class TokenGranters {
    private static final Logger LOG = LogManager.getLogger("tide");
    private static final Duration SETTLED = Duration.ofSeconds(3);

    private static final class Held {
        AggregateBucket holding;
        Duration leaseEnd;
        Duration strangerSince = Duration.ZERO;
        boolean releasing;
    }

    private final Env env;
    private final CoreClient core;
    private final ViewSubscriptions subscriptions;
    private final Function<String, Optional<RateLimit>> allowances;
    private final Supplier<Set<String>> buckets;
    private final LockedShard shard = new LockedShard();
    private final Map<String, Held> held = new HashMap<>();
    private final Set<String> asking = new TreeSet<>();
    private TimerHandle looking = () -> {};
    private boolean draining;
    private long granted;
    private long asks;

    public TokenGranters(
            Env env,
            CoreClient core,
            ViewSubscriptions subscriptions,
            Function<String, Optional<RateLimit>> allowances,
            Supplier<Set<String>> buckets) {
        this.env = env;
        this.core = core;
        this.subscriptions = subscriptions;
        this.allowances = allowances;
        this.buckets = buckets;
    }

    public void start() {
        looking = env.schedules().every(Duration.ofMillis(200), this::look);
    }

    public void stop() {
        looking.cancel();
    }

    private Duration now() {
        return env.times().mono();
    }

    private void look() {
        Set<String> ring = subscriptions.latest(ServiceNames.INTAKES).members().keySet();
        for (String b : buckets.get()) {
            boolean mine = ServiceNames.draw(b, ring).filter(env.self()::equals).isPresent();
            boolean deputy = !mine && deputy(b, ring);
            shard.run(() -> consider(b, mine, deputy));
        }
        shard.run(() -> List.copyOf(held.keySet()).stream()
                .filter(b -> !buckets.get().contains(b))
                .forEach(this::release));
    }

    /** Stands once the first of the ring has let its lease lapse; the ring itself is told of that later. design 8.4 */
    private boolean deputy(String b, Set<String> ring) {
        LeaderDuty d = subscriptions.latest(b).duty();
        Optional<String> first = ServiceNames.draw(b, ring);
        Set<String> rest = new TreeSet<>(ring);
        first.ifPresent(rest::remove);
        return first.filter(d.holder()::equals).isPresent()
                && ServiceNames.draw(b, rest).filter(env.self()::equals).isPresent();
    }

    private void consider(String b, boolean mine, boolean deputy) {
        Optional<Held> h = Optional.ofNullable(held.get(b));
        if (h.isPresent()) {
            Held x = h.get();
            x.strangerSince = mine ? Duration.ZERO : x.strangerSince.isZero() ? now() : x.strangerSince;
            if (draining || (!mine && now().minus(x.strangerSince).compareTo(SETTLED) > 0)) {
                release(b);
            } else {
                ask(b, x.holding.term());
            }
        } else if ((mine || deputy) && !draining) {
            ask(b, 0);
        }
    }

    private void ask(String b, long term) {
        if (!asking.add(b)) {
            return;
        }
        Duration sent = now();
        shard.leave(() -> core.ask(
                        ServiceNames.controlPart(b),
                        new ControlMessages.DutyAsk(
                                b, env.self(), term, term == 0 ? ControlMessages.newRequestId() : 0),
                        ControlMessages.DutyReply.class)
                .doFinally(s -> env.schedules().after(Duration.ofMillis(250), () -> shard.run(() -> asking.remove(b))))
                .subscribe(r -> shard.run(() -> answered(b, r, sent)), e -> {}));
    }

    private void answered(String b, ControlMessages.DutyReply r, Duration sent) {
        if (!r.yours() || draining) {
            held.remove(b);
            return;
        }
        Duration end = sent.plus(ReplicationTiming.usual().ownLease());
        Held h = held.get(b);
        if (h == null || h.holding.term() != r.duty().term()) {
            Optional<RateLimit> a = allowances.apply(b);
            if (a.isEmpty()) {
                return;
            }
            h = new Held();
            h.holding = new AggregateBucket(
                    r.duty().term(), r.duty().level(), r.duty().clear(), a.get(), now());
            held.put(b, h);
            LOG.info("tide: holds {} in term {}.", b, r.duty().term());
        }
        h.leaseEnd = end;
    }

    /** The old holder stops first; then the level goes to the core for the next one. */
    private void release(String b) {
        Held h = held.remove(b);
        if (h == null || h.leaseEnd.compareTo(now()) <= 0) {
            return;
        }
        ControlMessages.DutyRelease r =
                new ControlMessages.DutyRelease(b, env.self(), h.holding.term(), h.holding.level(now()));
        LOG.info("tide: gives up {} with level {}.", b, r.level());
        shard.leave(() -> core.ask(ServiceNames.controlPart(b), r, ControlMessages.Done.class)
                .subscribe(d -> {}, e -> {}));
    }

    public void drain() {
        shard.run(() -> {
            draining = true;
            List.copyOf(held.keySet()).forEach(this::release);
        });
    }

    public Mono<AdmissionTokens.PassReply> asked(String asker, AdmissionTokens.PassAsk a) {
        Optional<RateLimit> allowance = allowances.apply(a.bucket());
        return Mono.defer(() -> shard.get(() -> {
            Held h = held.get(a.bucket());
            if (h == null || now().compareTo(h.leaseEnd) >= 0) {
                return Mono.error(
                        new ServiceException(ErrorKind.NOT_OWNER, "This node does not hold " + a.bucket() + "."));
            }
            if (allowance.isEmpty()) {
                return Mono.error(new ServiceException(ErrorKind.STALE_VIEW, "The layout here is not proven fresh."));
            }
            h.holding.change(allowance.get(), now());
            AdmissionTokens.PassReply r = h.holding.ask(asker, a, h.leaseEnd, now());
            asks++;
            granted += r.granted();
            return Mono.just(r);
        }));
    }

    public List<String> holds() {
        return shard.get(() -> new ArrayList<>(held.keySet()));
    }

    public long asks() {
        return shard.get(() -> asks);
    }

    public long granted() {
        return shard.get(() -> granted);
    }
}
