package org.woadvale.controlplane.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreMembers;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.membership.SingletonLease;
import org.woadvale.common.replication.StateMachine;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.controlplane.configuration.ConfigurationLog;

/** The state of one control part: services by name, and in part 0 the configuration. design 6 */
public final class ControlStateMachine implements StateMachine {
    /** All of the machine, for views. */
    public record State(
            Map<String, ServiceView> services,
            @FirstFormatName("steps") List<ConfigurationLog.ConfigurationRevision> revisions,
            @Since(2) List<ConfigurationLog.AcceptedUpdate> acceptedUpdates,
            @Since(4) List<ConfigurationLog.RejectedUpdate> rejectedUpdates,
            @Since(4) List<AppliedRequests.Outcome> applied) {}

    private final Codec codec;
    private final Map<String, ServiceView> services = new TreeMap<>();
    private final ConfigurationLog configurations;
    private final AppliedRequests appliedRequests = new AppliedRequests();

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

    public AppliedRequests appliedRequests() {
        return appliedRequests;
    }

    @Override
    public Object apply(long index, Object c) {
        if (c instanceof ControlMessages.PutMember putMember) {
            Map<String, MemberLease> members =
                    new HashMap<>(service(putMember.service()).members());
            members.put(putMember.node(), putMember.memberLease());
            return putMembers(index, putMember.service(), members);
        } else if (c instanceof ControlMessages.DropMember dropMember) {
            Map<String, MemberLease> members =
                    new HashMap<>(service(dropMember.service()).members());
            if (members.containsKey(dropMember.node())
                    && members.get(dropMember.node()).incarnation().equals(dropMember.incarnation())) {
                members.remove(dropMember.node());
                return putMembers(index, dropMember.service(), members);
            }
            return new ControlMessages.UpdateResult(false);
        } else if (c instanceof ControlMessages.PutProcessor putProcessor) {
            Map<String, Processor> m =
                    new HashMap<>(service(putProcessor.service()).processors());
            m.put(putProcessor.id(), putProcessor.processor());
            return putProcessors(
                    index, putProcessor.service(), m, putProcessor.expectedVersion(), putProcessor.requestId());
        } else if (c instanceof ControlMessages.DropProcessor drop) {
            Map<String, Processor> m = new HashMap<>(service(drop.service()).processors());
            m.remove(drop.id());
            return putProcessors(index, drop.service(), m, drop.expectedVersion(), drop.requestId());
        } else if (c instanceof ControlMessages.PutProcessors putProcessors) {
            return putProcessors(
                    index,
                    putProcessors.service(),
                    new HashMap<>(putProcessors.processors()),
                    putProcessors.expectedVersion(),
                    putProcessors.requestId());
        } else if (c instanceof ControlMessages.AcquireSingleton acquire) {
            return acquireSingleton(index, acquire);
        } else if (c instanceof ControlMessages.ReleaseSingleton release) {
            SingletonLease now = service(release.service()).singleton();
            if (now.owner().equals(release.node()) && now.term() == release.term()) {
                putSingleton(index, release.service(), new SingletonLease("", now.term(), release.level(), false));
                return new ControlMessages.UpdateResult(true);
            }
            return new ControlMessages.UpdateResult(false);
        } else if (c instanceof ControlMessages.PutPlacement putPlacement) {
            return putPlacement(index, putPlacement);
        } else if (c instanceof ControlMessages.PutCore putCore) {
            ServiceView view = service(ServiceNames.CORE);
            Set<String> now = Set.copyOf(view.placement().getOrDefault(ServiceNames.CORE, List.of()));
            if (!now.isEmpty()
                    && !putCore.expected().isEmpty()
                    && !now.equals(Set.copyOf(putCore.expected()))
                    && !now.equals(Set.copyOf(putCore.members()))) {
                return new ControlMessages.UpdateResult(false);
            }
            return putCoreMembers(index, putCore.members());
        } else if (c instanceof ControlMessages.ChangeCore change) {
            return change.epoch() == coreMembers().epoch()
                    ? putCoreMembers(index, change.members())
                    : new ControlMessages.UpdateResult(false);
        } else if (c instanceof ControlMessages.PutConfiguration put) {
            return putConfiguration(index, put);
        }
        return new ServiceException(
                ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    /** The members of the core as last committed; the epoch is 0 and the list empty until one was. */
    public CoreMembers coreMembers() {
        ServiceView core = service(ServiceNames.CORE);
        return new CoreMembers(core.version(), core.placement().getOrDefault(ServiceNames.CORE, List.of()));
    }

    private Object putCoreMembers(long index, List<String> members) {
        services.put(
                ServiceNames.CORE, service(ServiceNames.CORE).withPlacement(index, Map.of(ServiceNames.CORE, members)));
        return new ControlMessages.UpdateResult(true);
    }

    private Object putMembers(long index, String service, Map<String, MemberLease> members) {
        services.put(service, service(service).withMembers(index, members));
        return new ControlMessages.UpdateResult(true);
    }

    /** A list is taken only if it was made from the present one; a repeat has the outcome of its first copy. */
    private Object putProcessors(long index, String service, Map<String, Processor> list, long seen, long requestId) {
        Optional<AppliedRequests.Outcome> before = appliedRequests.outcome(requestId);
        if (before.isPresent()) {
            return new ControlMessages.UpdateResult(before.get().accepted());
        }
        ServiceView view = service(service);
        boolean accepted = seen == 0 || seen == view.version() + 1;
        if (accepted) {
            services.put(service, view.withProcessors(index, list));
        }
        appliedRequests.remember(new AppliedRequests.Outcome(requestId, accepted, 0));
        return new ControlMessages.UpdateResult(accepted);
    }

    private void putSingleton(long index, String service, SingletonLease duty) {
        services.put(service, service(service).withSingleton(index, duty));
    }

    private Object acquireSingleton(long index, ControlMessages.AcquireSingleton take) {
        SingletonLease now = service(take.service()).singleton();
        if (take.requestId() != 0 && appliedRequests.outcome(take.requestId()).isPresent()) {
            boolean still =
                    now.owner().equals(take.node()) && now.term() == appliedRequests.singletonTerm(take.requestId());
            return new ControlMessages.SingletonLeaseResponse(still, now);
        }
        if (now.term() != take.expectedTerm()) {
            appliedRequests.remember(new AppliedRequests.Outcome(take.requestId(), false, 0));
            return new ControlMessages.SingletonLeaseResponse(false, now);
        }
        // design 8.4: a crashed holder's level is lost; only a level given up by the holder itself is handed on
        SingletonLease next = new SingletonLease(
                take.node(), now.term() + 1, now.vacant() ? now.level() : 0, take.lapsed() && !now.vacant());
        putSingleton(index, take.service(), next);
        appliedRequests.remember(new AppliedRequests.Outcome(take.requestId(), true, next.term()));
        return new ControlMessages.SingletonLeaseResponse(true, next);
    }

    private Object putPlacement(long index, ControlMessages.PutPlacement place) {
        ServiceView view = service(ServiceNames.STORES);
        if (view.version() != place.expectedVersion()) {
            return new ControlMessages.UpdateResult(false);
        }
        services.put(ServiceNames.STORES, view.withPlacement(index, place.placement()));
        return new ControlMessages.UpdateResult(true);
    }

    private Object putConfiguration(long index, ControlMessages.PutConfiguration put) {
        Object out = configurations.put(put);
        if (out instanceof ControlMessages.ConfigurationAccepted taken && !taken.repeated()) {
            services.put(
                    ServiceNames.CONFIGURATION,
                    service(ServiceNames.CONFIGURATION).withConfiguration(index, put.configuration(), taken.version()));
        }
        return out;
    }

    @Override
    public byte[] snapshot() {
        return codec.write(new State(
                new HashMap<>(services),
                configurations.revisions(),
                configurations.acceptedUpdates(),
                configurations.rejectedUpdates(),
                appliedRequests.all()));
    }

    @Override
    public void restore(byte[] view) {
        try {
            State state = codec.read(view, State.class);
            services.clear();
            services.putAll(state.services());
            configurations.restore(state.revisions(), state.acceptedUpdates(), state.rejectedUpdates());
            appliedRequests.restore(state.applied());
        } catch (ServiceException failure) {
            throw new IllegalStateException("unreadable view", failure);
        }
    }
}
