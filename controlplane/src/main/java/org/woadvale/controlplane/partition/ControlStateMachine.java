package org.woadvale.controlplane.partition;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
            @Since(2) List<ConfigurationLog.Known> known) {}

    private final Codec codec;
    private final Map<String, ServiceView> services = new TreeMap<>();
    private final ConfigurationLog configurations;

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
            return processors(index, p.service(), m, p.seen());
        } else if (c instanceof ControlMessages.DropProcessor d) {
            Map<String, Processor> m = new HashMap<>(service(d.service()).processors());
            m.remove(d.id());
            return processors(index, d.service(), m, d.seen());
        } else if (c instanceof ControlMessages.PutProcessors p) {
            return processors(index, p.service(), new HashMap<>(p.processors()), p.seen());
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
        ServiceView v = service(ServiceNames.CORE);
        services.put(
                ServiceNames.CORE,
                new ServiceView(
                        ServiceNames.CORE,
                        index,
                        v.members(),
                        v.processors(),
                        v.duty(),
                        Map.of(ServiceNames.CORE, members),
                        v.configuration(),
                        v.configurationVersion()));
        return new ControlMessages.Done(true);
    }

    private Object members(long index, String service, Map<String, MemberLease> members) {
        ServiceView v = service(service);
        services.put(
                service,
                new ServiceView(
                        service,
                        index,
                        members,
                        v.processors(),
                        v.duty(),
                        v.placement(),
                        v.configuration(),
                        v.configurationVersion()));
        return new ControlMessages.Done(true);
    }

    private Object processors(long index, String service, Map<String, Processor> m, long seen) {
        ServiceView v = service(service);
        if (seen != 0 && seen != v.version() + 1) {
            return new ControlMessages.Done(false);
        }
        services.put(
                service,
                new ServiceView(
                        service,
                        index,
                        v.members(),
                        m,
                        v.duty(),
                        v.placement(),
                        v.configuration(),
                        v.configurationVersion()));
        return new ControlMessages.Done(true);
    }

    private void duty(long index, String service, LeaderDuty d) {
        ServiceView v = service(service);
        services.put(
                service,
                new ServiceView(
                        service,
                        index,
                        v.members(),
                        v.processors(),
                        d,
                        v.placement(),
                        v.configuration(),
                        v.configurationVersion()));
    }

    private Object takeDuty(long index, ControlMessages.TakeDuty t) {
        LeaderDuty now = service(t.service()).duty();
        if (now.term() != t.expectedTerm()) {
            return new ControlMessages.DutyReply(false, now);
        }
        // design 8.4: a crashed holder's level is lost; only a level given up by the holder itself is handed on
        LeaderDuty next =
                new LeaderDuty(t.node(), now.term() + 1, now.vacant() ? now.level() : 0, t.lapsed() && !now.vacant());
        duty(index, t.service(), next);
        return new ControlMessages.DutyReply(true, next);
    }

    private Object place(long index, ControlMessages.Place p) {
        ServiceView v = service(ServiceNames.STORES);
        if (v.version() != p.expectedVersion()) {
            return new ControlMessages.Done(false);
        }
        services.put(
                ServiceNames.STORES,
                new ServiceView(
                        ServiceNames.STORES,
                        index,
                        v.members(),
                        v.processors(),
                        v.duty(),
                        p.placement(),
                        v.configuration(),
                        v.configurationVersion()));
        return new ControlMessages.Done(true);
    }

    private Object putConfiguration(long index, ControlMessages.PutConfiguration p) {
        Object out = configurations.put(p);
        if (out instanceof ControlMessages.ConfigurationTaken t && !t.repeated()) {
            ServiceView v = service(ServiceNames.CONFIGURATION);
            services.put(
                    ServiceNames.CONFIGURATION,
                    new ServiceView(
                            ServiceNames.CONFIGURATION,
                            index,
                            v.members(),
                            v.processors(),
                            v.duty(),
                            v.placement(),
                            p.configuration(),
                            t.version()));
        }
        return out;
    }

    @Override
    public byte[] view() {
        return codec.write(new State(new HashMap<>(services), configurations.steps(), configurations.known()));
    }

    @Override
    public void restore(byte[] view) {
        try {
            State s = codec.read(view, State.class);
            services.clear();
            services.putAll(s.services());
            configurations.restore(s.steps(), s.known());
        } catch (ServiceException e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
