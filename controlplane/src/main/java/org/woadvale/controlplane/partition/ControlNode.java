package org.woadvale.controlplane.partition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.woadvale.common.discovery.ViewCompression;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.Messages;
import org.woadvale.common.replication.Phase;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;

/** A control node: one replica of every control part, and what it answers as their owner. */
public final class ControlNode implements Component {
    private record Part(Replica replica, ControlStateMachine machine, LeaseManager leases) {}

    private static final int HISTORY_BYTES = 512 << 10;

    private final Env env;
    private final CoreClient core;
    private final Map<String, Part> parts = new LinkedHashMap<>();
    private final LeaderSightings leaders = new LeaderSightings();
    private final RetryingCoreClient retrying;
    private final PlacementDriver placement;
    private final CoreMembership membership;
    private final ViewCompression compression = new ViewCompression();
    private final MajorityContact contact;
    private TimerHandle looking = () -> {};
    private TimerHandle learning = () -> {};
    private volatile boolean draining;

    /** A control node that joins a running core is voting by the owners once {@code wantedCore} names it. */
    public ControlNode(Env env, CoreClient core, List<String> wantedCore, String zone) {
        this.env = env;
        this.core = core;
        for (String p : ServiceNames.controlParts()) {
            ControlStateMachine m = new ControlStateMachine(
                    env.codec(), Math.min(HISTORY_BYTES, env.wal().largest() / 4));
            Replica r = new Replica(p, turned(wantedCore, p), m, env);
            parts.put(p, new Part(r, m, new LeaseManager(r, m, env)));
        }
        Part c0 = parts.get(ServiceNames.controlPart(ServiceNames.CORE));
        this.membership = new CoreMembership(env, core, zone, c0.replica(), c0.machine(), this::replicas);
        Part stores = parts.get(ServiceNames.controlPart(ServiceNames.STORES));
        this.placement = new PlacementDriver(env, stores.replica(), stores.machine());
        this.contact = new MajorityContact(env, core, c0.replica(), membership::answeredAt);
        this.retrying = new RetryingCoreClient(env, core, contact::now);
    }

    /** Each part has another first control node, so owners are spread. */
    static List<String> turned(List<String> core, String part) {
        List<String> sorted = new ArrayList<>(new TreeSet<>(core));
        java.util.Collections.rotate(sorted, Integer.parseInt(part.substring(1)));
        return sorted;
    }

    @Override
    public String name() {
        return "lamp";
    }

    public void route(RpcRouter router) {
        Messages.route(router, id -> part(id).map(Part::replica))
                .on(
                        ControlMessages.LeaseAsk.class,
                        (f, a) -> of(a.service())
                                .flatMap(p -> p.leases().lease(a))
                                .doOnNext(done -> heard(a.service())))
                .on(
                        ControlMessages.LeaveAsk.class,
                        (f, a) -> of(a.service()).flatMap(p -> p.leases().leave(a)))
                .on(
                        ControlMessages.DutyAsk.class,
                        (f, a) -> of(a.service()).flatMap(p -> p.leases().duty(a)))
                .on(
                        ControlMessages.DutyRelease.class,
                        (f, a) -> of(a.service()).flatMap(p -> p.leases().release(a)))
                .on(ControlMessages.ViewAsk.class, (f, a) -> subscriptions(a).map(r -> compression.pack(a, r)))
                .on(ControlMessages.CoreAsk.class, (f, a) -> Mono.just(core.reply()))
                .on(ControlMessages.StandbyAsk.class, (f, a) -> membership.announced(a))
                .on(ControlMessages.LeaveCoreAsk.class, (f, a) -> membership.leaving(a))
                .on(ControlMessages.PutCore.class, (f, a) -> change(ServiceNames.CORE, a))
                .on(ControlMessages.PutProcessor.class, (f, a) -> change(a.service(), a))
                .on(ControlMessages.DropProcessor.class, (f, a) -> change(a.service(), a))
                .on(ControlMessages.PutProcessors.class, (f, a) -> change(a.service(), a));
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> seeds) {
        core.reseed(seeds);
    }

    private void heard(String service) {
        if (service.equals(ServiceNames.STORES)) {
            placement.heard();
        }
    }

    private Mono<Part> part(String id) {
        return Mono.justOrEmpty(parts.get(id))
                .switchIfEmpty(Mono.error(new ServiceException(ErrorKind.NOT_FOUND, "No control part " + id + ".")));
    }

    private Mono<Part> of(String service) {
        return part(ServiceNames.controlPart(service));
    }

    private Mono<ControlMessages.Done> change(String service, Object command) {
        return of(service).flatMap(p -> p.replica().propose(command, ControlMessages.Done.class));
    }

    /** Every service asked for is of one part; the age is nothing, since the lease was checked just now. */
    private Mono<ControlMessages.ViewReply> subscriptions(ControlMessages.ViewAsk ask) {
        String id = ServiceNames.controlPart(
                ask.known().keySet().stream().findFirst().orElse(ServiceNames.CONFIGURATION));
        return part(id).flatMap(p -> p.replica()
                .read(i -> ServiceViewQuery.changed(
                        id, p.machine(), ask, core.members().epoch())));
    }

    public List<String> lighthouses() {
        TreeSet<String> all = new TreeSet<>();
        parts.values().forEach(p -> all.addAll(p.replica().group().keySet()));
        return all.isEmpty() ? core.lighthouses() : new ArrayList<>(all);
    }

    /** The newest committed list of the core's members that is known here. */
    public CoreMembers members() {
        return core.members();
    }

    @Override
    public void start() throws ServiceException {
        for (Map.Entry<String, Part> e : parts.entrySet()) {
            e.getValue().replica().start(env.wal().recovered().getOrDefault(e.getKey(), List.of()));
        }
        looking = env.schedules().every(Duration.ofMillis(250), this::look);
        learning = env.schedules().every(Duration.ofSeconds(2), core::learn);
        membership.look();
    }

    private List<Replica> replicas() {
        return parts.values().stream().map(Part::replica).toList();
    }

    /** Who the members of the core should be, as far as part c0 is known here. */
    private void follow() {
        CoreMembers wanted = membership.committed();
        core.known(wanted);
        if (!wanted.members().isEmpty()) {
            parts.forEach((id, p) -> p.replica().want(turned(wanted.members(), id)));
        }
    }

    private void look() {
        membership.look();
        follow();
        seeOwners();
        parts.values().forEach(p -> p.leases().reap());
        placement.look();
        if (draining) {
            transferLeadership();
        } else {
            spread();
        }
    }

    /** The first control node of a part's list owns it once it is back and up to date; one move at a look. */
    private void spread() {
        for (Map.Entry<String, Part> e : parts.entrySet()) {
            Replica r = e.getValue().replica();
            String first = turned(core.lighthouses(), e.getKey()).get(0);
            if (r.successor().filter(first::equals).isPresent() && r.transferLeadership(first)) {
                return;
            }
        }
    }

    /** Owners hand over before they stop. */
    public boolean drain() {
        draining = true;
        parts.values().forEach(p -> p.replica().unwilling());
        transferLeadership();
        boolean exchanging = membership.leave();
        return !exchanging && parts.values().stream().noneMatch(p -> p.replica().phase() == Phase.OWNING);
    }

    private void transferLeadership() {
        parts.values().forEach(p -> p.replica().successor().ifPresent(p.replica()::transferLeadership));
    }

    @Override
    public void stop() {
        looking.cancel();
        learning.cancel();
        parts.values().forEach(p -> p.replica().stop());
    }

    private void seeOwners() {
        parts.forEach((id, p) -> leaders.observe(id, p.replica(), env.times().mono()));
    }

    /** A part that changes hands in order is without an owner for a moment; that is no reason to turn operators away. */
    public boolean ready() {
        seeOwners();
        return contact.ready(leaders.allRecent(parts.keySet(), env.times().mono()));
    }

    /** An operator's request, repeated while the part has no leader. */
    <T> Mono<T> ask(String part, RepeatableRequest request, Class<T> type) {
        return retrying.ask(part, request, type);
    }

    public Replica replica(String part) {
        return parts.get(part).replica();
    }

    public ControlStateMachine machine(String part) {
        return parts.get(part).machine();
    }

    public Map<String, Object> status() {
        Map<String, Object> out = new LinkedHashMap<>();
        parts.forEach((id, p) -> out.put(
                id,
                Map.of(
                        "phase",
                        p.replica().phase(),
                        "term",
                        p.replica().term(),
                        "owner",
                        p.replica().owner().orElse(""),
                        "group",
                        p.replica().group().keySet())));
        return out;
    }
}
