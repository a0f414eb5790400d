package org.woadvale.controlplane.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.ControlMessages.UpdateResult;
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
import org.woadvale.controlplane.configuration.ConfigurationLog;

/** The state of one control partition: services by name, and in partition c0 the configuration. */
public final class ControlStateMachine implements StateMachine<ControlCommand, ControlResult> {
    /** The complete state, for snapshots. */
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

    /** Creates an empty state whose configuration history takes at most the given number of bytes. */
    public ControlStateMachine(Codec codec, int historyBytes) {
        this.codec = codec;
        this.configurations = new ConfigurationLog(historyBytes);
    }

    /** The view of a service by its internal name; an empty one if the service is unknown. */
    public ServiceView service(String name) {
        return services.getOrDefault(name, ServiceView.empty(name));
    }

    /** The views of all services by their internal names. */
    public Map<String, ServiceView> services() {
        return new TreeMap<>(services);
    }

    /** The revisions of the configuration; used in partition c0 only. */
    public ConfigurationLog configurations() {
        return configurations;
    }

    /** The outcomes of the latest commands with a request id. */
    public AppliedRequests appliedRequests() {
        return appliedRequests;
    }

    @Override
    public Class<ControlCommand> commandType() {
        return ControlCommand.class;
    }

    @Override
    public ControlResult apply(long index, ControlCommand command) throws ServiceException {
        if (command instanceof ControlMessages.PutMember put) {
            return putMember(index, put);
        } else if (command instanceof ControlMessages.DropMember drop) {
            return dropMember(index, drop);
        } else if (command instanceof ControlMessages.PutProcessor put) {
            return putProcessor(index, put);
        } else if (command instanceof ControlMessages.DropProcessor drop) {
            return dropProcessor(index, drop);
        } else if (command instanceof ControlMessages.PutProcessors put) {
            Map<String, Processor> processors = new HashMap<>(put.processors());
            return putProcessors(index, put.service(), processors, put.expectedVersion(), put.requestId());
        } else if (command instanceof ControlMessages.AcquireSingleton acquire) {
            return acquireSingleton(index, acquire);
        } else if (command instanceof ControlMessages.ReleaseSingleton release) {
            return releaseSingleton(index, release);
        } else if (command instanceof ControlMessages.PutPlacement put) {
            return putPlacement(index, put);
        } else if (command instanceof ControlMessages.PutCore put) {
            return putCore(index, put);
        } else if (command instanceof ControlMessages.ChangeCore change) {
            return changeCore(index, change);
        } else if (command instanceof ControlMessages.PutConfiguration put) {
            return putConfiguration(index, put);
        }
        throw new InvalidRequestException(
                "Unknown command " + command.getClass().getSimpleName() + ".");
    }

    /** The committed members of the core; an empty list with epoch 0 before the first is committed. */
    public CoreMembers coreMembers() {
        ServiceView core = service(ServiceNames.CORE);
        return new CoreMembers(core.version(), core.placement().getOrDefault(ServiceNames.CORE, List.of()));
    }

    private ControlResult putMember(long index, ControlMessages.PutMember put) {
        Map<String, MemberLease> members = new HashMap<>(service(put.service()).members());
        members.put(put.node(), put.memberLease());
        return putMembers(index, put.service(), members);
    }

    /** Drops the given incarnation of a node; a later one remains a member. */
    private ControlResult dropMember(long index, ControlMessages.DropMember drop) {
        Map<String, MemberLease> members = new HashMap<>(service(drop.service()).members());
        MemberLease lease = members.get(drop.node());
        if (lease == null || !lease.incarnation().equals(drop.incarnation())) {
            return new UpdateResult(false);
        }
        members.remove(drop.node());
        return putMembers(index, drop.service(), members);
    }

    private ControlResult putMembers(long index, String service, Map<String, MemberLease> members) {
        services.put(service, service(service).withMembers(index, members));
        return new UpdateResult(true);
    }

    private ControlResult putProcessor(long index, ControlMessages.PutProcessor put) {
        Map<String, Processor> processors = new HashMap<>(service(put.service()).processors());
        processors.put(put.id(), put.processor());
        return putProcessors(index, put.service(), processors, put.expectedVersion(), put.requestId());
    }

    private ControlResult dropProcessor(long index, ControlMessages.DropProcessor drop) {
        Map<String, Processor> processors =
                new HashMap<>(service(drop.service()).processors());
        processors.remove(drop.id());
        return putProcessors(index, drop.service(), processors, drop.expectedVersion(), drop.requestId());
    }

    /** Accepts a list only if it is based on the current one; a repeated command gets the outcome of the first. */
    private ControlResult putProcessors(
            long index, String service, Map<String, Processor> processors, long expectedVersion, long requestId) {
        Optional<AppliedRequests.Outcome> previous = appliedRequests.outcome(requestId);
        if (previous.isPresent()) {
            return new UpdateResult(previous.get().accepted());
        }
        ServiceView view = service(service);
        boolean accepted = expectedVersion == 0 || expectedVersion == view.version() + 1;
        if (accepted) {
            services.put(service, view.withProcessors(index, processors));
        }
        appliedRequests.remember(new AppliedRequests.Outcome(requestId, accepted, 0));
        return new UpdateResult(accepted);
    }

    private void putSingleton(long index, String service, SingletonLease singleton) {
        services.put(service, service(service).withSingleton(index, singleton));
    }

    private ControlResult acquireSingleton(long index, ControlMessages.AcquireSingleton acquire) {
        SingletonLease current = service(acquire.service()).singleton();
        if (acquire.requestId() != 0
                && appliedRequests.outcome(acquire.requestId()).isPresent()) {
            boolean stillOwned = current.owner().equals(acquire.node())
                    && current.term() == appliedRequests.singletonTerm(acquire.requestId());
            return new ControlMessages.SingletonLeaseResponse(stillOwned, current);
        }
        if (current.term() != acquire.expectedTerm()) {
            appliedRequests.remember(new AppliedRequests.Outcome(acquire.requestId(), false, 0));
            return new ControlMessages.SingletonLeaseResponse(false, current);
        }
        // the tokens of a crashed owner are lost; only those that an owner has released pass to the next
        double level = current.vacant() ? current.level() : 0;
        boolean clear = acquire.lapsed() && !current.vacant();
        SingletonLease next = new SingletonLease(acquire.node(), current.term() + 1, level, clear);
        putSingleton(index, acquire.service(), next);
        appliedRequests.remember(new AppliedRequests.Outcome(acquire.requestId(), true, next.term()));
        return new ControlMessages.SingletonLeaseResponse(true, next);
    }

    private ControlResult releaseSingleton(long index, ControlMessages.ReleaseSingleton release) {
        SingletonLease current = service(release.service()).singleton();
        boolean owns = current.owner().equals(release.node()) && current.term() == release.term();
        if (owns) {
            putSingleton(index, release.service(), new SingletonLease("", current.term(), release.level(), false));
        }
        return new UpdateResult(owns);
    }

    private ControlResult putPlacement(long index, ControlMessages.PutPlacement put) {
        ServiceView view = service(ServiceNames.STORES);
        if (view.version() != put.expectedVersion()) {
            return new UpdateResult(false);
        }
        services.put(ServiceNames.STORES, view.withPlacement(index, put.placement()));
        return new UpdateResult(true);
    }

    /**
     * Accepted if the current members are the expected ones or already the new ones, if no list is committed yet, or if
     * none is expected.
     */
    private ControlResult putCore(long index, ControlMessages.PutCore put) {
        Set<String> current = Set.copyOf(coreMembers().members());
        boolean unconditional = current.isEmpty() || put.expected().isEmpty();
        boolean accepted = unconditional
                || current.equals(Set.copyOf(put.expected()))
                || current.equals(Set.copyOf(put.members()));
        return accepted ? putCoreMembers(index, put.members()) : new UpdateResult(false);
    }

    private ControlResult changeCore(long index, ControlMessages.ChangeCore change) {
        boolean accepted = change.epoch() == coreMembers().epoch();
        return accepted ? putCoreMembers(index, change.members()) : new UpdateResult(false);
    }

    private ControlResult putCoreMembers(long index, List<String> members) {
        Map<String, List<String>> placement = Map.of(ServiceNames.CORE, members);
        services.put(ServiceNames.CORE, service(ServiceNames.CORE).withPlacement(index, placement));
        return new UpdateResult(true);
    }

    private ControlResult putConfiguration(long index, ControlMessages.PutConfiguration put) throws ServiceException {
        ControlMessages.ConfigurationAccepted accepted = configurations.put(put);
        if (!accepted.repeated()) {
            ServiceView view = service(ServiceNames.CONFIGURATION);
            services.put(
                    ServiceNames.CONFIGURATION, view.withConfiguration(index, put.configuration(), accepted.version()));
        }
        return accepted;
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
    public void restore(byte[] snapshot) {
        try {
            State state = codec.read(snapshot, State.class);
            services.clear();
            services.putAll(state.services());
            configurations.restore(state.revisions(), state.acceptedUpdates(), state.rejectedUpdates());
            appliedRequests.restore(state.applied());
        } catch (ServiceException failure) {
            throw new IllegalStateException("The snapshot of a control partition cannot be read.", failure);
        }
    }
}
