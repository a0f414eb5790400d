package org.woadvale.controlplane.partition;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.LeaderDuty;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** The state of one control part: services by name, and in part 0 the configuration. design 6 */
public final class ControlStateMachine implements StateMachine {
    /** All of the machine, for views. */
    public record State(
            Map<String, ServiceView> services,
            List<ConfigurationLog.Step> steps,
            @Since(2) List<ConfigurationLog.Known> known,
            @Since(4) List<ConfigurationLog.RefusedOrder> refused,
            @Since(4) List<AppliedRequests.Outcome> applied) {}

    private final Codec codec;
    private final Map<String, ServiceView> services = new TreeMap<>();
    private final ConfigurationLog configurations;
    private final AppliedRequests applied = new AppliedRequests();

    /** The history of configurations has so many bytes at the most: a whole view must fit into a ring file. */
    public ControlStateMachine(Codec codec, int historyBytes) {
        this.codec = codec;
        this.configurations = new ConfigurationLog(historyBytes);
    }

    public ServiceView service(String name) {
        return services.getOrDefault(name, ServiceView.blank(name));
    }

    public Map<String, ServiceView> services() {
        return new TreeMap<>(services);
    }

    public ConfigurationLog configurations() {
        return configurations;
    }

    AppliedRequests appliedRequests() {
        return applied;
    }

    @Override
    public Object apply(long index, Object c) {
        if (c instanceof ControlMessages.PutMember p) {
            Map<String, MemberLease> members =
                    new HashMap<>(service(p.service()).members());
            members.put(p.node(), p.memberLease());
            return members(index, p.service(), members);
        } else if (c instanceof ControlMessages.DropMember d) {
            Map<String, MemberLease> members =
                    new HashMap<>(service(d.service()).members());
            if (members.containsKey(d.node())
                    && members.get(d.node()).incarnation().equals(d.incarnation())) {
                members.remove(d.node());
                return members(index, d.service(), members);
            }
            return new ControlMessages.Done(false);
        } else if (c instanceof ControlMessages.PutProcessor p) {
            Map<String, Processor> m = new HashMap<>(service(p.service()).processors());
            m.put(p.id(), p.processor());
            return processors(index, p.service(), m, p.seen(), p.requestId());
        } else if (c instanceof ControlMessages.DropProcessor d) {
            Map<String, Processor> m = new HashMap<>(service(d.service()).processors());
            m.remove(d.id());
            return processors(index, d.service(), m, d.seen(), d.requestId());
        } else if (c instanceof ControlMessages.PutProcessors p) {
            return processors(index, p.service(), new HashMap<>(p.processors()), p.seen(), p.requestId());
        } else if (c instanceof ControlMessages.TakeDuty t) {
            return takeDuty(index, t);
        } else if (c instanceof ControlMessages.ReleaseDuty d) {
            LeaderDuty now = service(d.service()).duty();
            if (now.holder().equals(d.node()) && now.term() == d.term()) {
                duty(index, d.service(), new LeaderDuty("", now.term(), d.level(), false));
                return new ControlMessages.Done(true);
            }
            return new ControlMessages.Done(false);
        } else if (c instanceof ControlMessages.Place p) {
            return place(index, p);
        } else if (c instanceof ControlMessages.PutCore p) {
            ServiceView v = service(ServiceNames.CORE);
            Set<String> now = Set.copyOf(v.placement().getOrDefault(ServiceNames.CORE, List.of()));
            if (!now.isEmpty()
                    && !p.instead().isEmpty()
                    && !now.equals(Set.copyOf(p.instead()))
                    && !now.equals(Set.copyOf(p.lighthouses()))) {
                return new ControlMessages.Done(false);
            }
            return core(index, p.lighthouses());
        } else if (c instanceof ControlMessages.ChangeCore p) {
            return p.epoch() == coreMembers().epoch() ? core(index, p.members()) : new ControlMessages.Done(false);
        } else if (c instanceof ControlMessages.PutConfiguration p) {
            return putConfiguration(index, p);
        }
        return new ServiceException(
                ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    /** The members of the core as last committed; the epoch is 0 and the list empty until one was. */
    public CoreMembers coreMembers() {
        ServiceView core = service(ServiceNames.CORE);
        return new CoreMembers(core.version(), core.placement().getOrDefault(ServiceNames.CORE, List.of()));
    }

    private Object core(long index, List<String> members) {
        services.put(
                ServiceNames.CORE, service(ServiceNames.CORE).withPlacement(index, Map.of(ServiceNames.CORE, members)));
        return new ControlMessages.Done(true);
    }

    private Object members(long index, String service, Map<String, MemberLease> members) {
        services.put(service, service(service).withMembers(index, members));
        return new ControlMessages.Done(true);
    }

    /** A list is taken only if it was made from the present one; a repeat has the outcome of its first copy. */
    private Object processors(long index, String service, Map<String, Processor> list, long seen, long requestId) {
        Optional<AppliedRequests.Outcome> before = applied.outcome(requestId);
        if (before.isPresent()) {
            return new ControlMessages.Done(before.get().accepted());
        }
        ServiceView view = service(service);
        boolean accepted = seen == 0 || seen == view.version() + 1;
        if (accepted) {
            services.put(service, view.withProcessors(index, list));
        }
        applied.remember(new AppliedRequests.Outcome(requestId, accepted, 0));
        return new ControlMessages.Done(accepted);
    }

    private void duty(long index, String service, LeaderDuty duty) {
        services.put(service, service(service).withDuty(index, duty));
    }

    private Object takeDuty(long index, ControlMessages.TakeDuty take) {
        LeaderDuty now = service(take.service()).duty();
        if (take.requestId() != 0 && applied.outcome(take.requestId()).isPresent()) {
            boolean still = now.holder().equals(take.node()) && now.term() == applied.dutyTerm(take.requestId());
            return new ControlMessages.DutyReply(still, now);
        }
        if (now.term() != take.expectedTerm()) {
            applied.remember(new AppliedRequests.Outcome(take.requestId(), false, 0));
            return new ControlMessages.DutyReply(false, now);
        }
        // design 8.4: a crashed holder's level is lost; only a level given up by the holder itself is handed on
        LeaderDuty next = new LeaderDuty(
                take.node(), now.term() + 1, now.vacant() ? now.level() : 0, take.lapsed() && !now.vacant());
        duty(index, take.service(), next);
        applied.remember(new AppliedRequests.Outcome(take.requestId(), true, next.term()));
        return new ControlMessages.DutyReply(true, next);
    }

    private Object place(long index, ControlMessages.Place place) {
        ServiceView view = service(ServiceNames.STORES);
        if (view.version() != place.expectedVersion()) {
            return new ControlMessages.Done(false);
        }
        services.put(ServiceNames.STORES, view.withPlacement(index, place.placement()));
        return new ControlMessages.Done(true);
    }

    private Object putConfiguration(long index, ControlMessages.PutConfiguration put) {
        Object out = configurations.put(put);
        if (out instanceof ControlMessages.ConfigurationTaken taken && !taken.repeated()) {
            services.put(
                    ServiceNames.CONFIGURATION,
                    service(ServiceNames.CONFIGURATION).withConfiguration(index, put.configuration(), taken.version()));
        }
        return out;
    }

    @Override
    public byte[] view() {
        return codec.write(new State(
                new HashMap<>(services),
                configurations.steps(),
                configurations.known(),
                configurations.refused(),
                applied.all()));
    }

    @Override
    public void restore(byte[] view) {
        try {
            State s = codec.read(view, State.class);
            services.clear();
            services.putAll(s.services());
            configurations.restore(s.steps(), s.known(), s.refused());
            applied.restore(s.applied());
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
