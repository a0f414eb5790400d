package org.woadvale.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.woadvale.common.cli.CoreMembersFile;
import org.woadvale.common.cli.Program;
import org.woadvale.common.config.Settings;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.http.HttpGateway;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.TcpRpcClient;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.Supervisor;
import org.woadvale.common.runtime.SystemClock;
import org.woadvale.common.runtime.SystemTimers;
import org.woadvale.common.wal.FolderDisk;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.controlplane.api.OperatorHttpHandler;
import org.woadvale.controlplane.node.ControlNode;
import org.woadvale.controlplane.registry.ProcessorRegistry;
import org.woadvale.controlplane.registry.ProcessorSource;

/** Entry point of the control plane process. */
public final class ControlPlaneProgram {
    private static final AtomicReference<Runnable> DRAIN = new AtomicReference<>(() -> {});

    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);
    /** An available successor has replaced this node in every group by then. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);
    /** At most this part of the grace period is waited; open requests are answered in the rest. */
    private static final int GRACE_PERIOD_DIVISOR = 2;

    private static final int MEBIBYTE_SHIFT = 20;
    private static final Duration REGISTRY_PERIOD = Duration.ofMillis(700);

    private ControlPlaneProgram() {}

    /** Runs the program; see {@code --help}. */
    public static void main(String[] args) {
        System.exit(new Program("controlplane", ControlPlaneProgram::check, ControlPlaneProgram::build, DRAIN::get)
                .main(args));
    }

    /** Drains the running node before it stops; does nothing if no node has been built. */
    public static void drain() {
        DRAIN.get().run();
    }

    /**
     * Validates the settings of a control node beyond the constraints of the individual fields.
     *
     * @throws ServiceException if a setting is invalid; the message names the field
     */
    public static void check(Settings settings) throws ServiceException {
        if (settings.data().isEmpty()) {
            throw new InvalidRequestException("The boot file is invalid at data: a control node needs a data folder.");
        }
        if (!settings.join() && !settings.seeds().contains(settings.address())) {
            throw new InvalidRequestException(
                    "The boot file is invalid at seeds: the first control nodes name themselves; set join for a later one.");
        }
        if (!settings.roles().isEmpty()) {
            throw new InvalidRequestException("The boot file is invalid at roles: a control node has none.");
        }
    }

    static Supervisor build(Settings settings, SystemTimers timers, Runnable onGiveUp) throws ServiceException {
        return build(
                settings,
                timers,
                onGiveUp,
                Optional.empty(),
                handler -> List.of(new HttpGateway(
                        settings.http(), OperatorHttpHandler.MAX_CONFIGURATION_BYTES, handler::handle)));
    }

    /**
     * Creates the components of a control node without starting them.
     *
     * @param processors the source of the complete processor lists, if there is one
     * @param gateways creates the HTTP servers for the operator request handler
     * @throws ServiceException if the data folder cannot be opened
     */
    public static Supervisor build(
            Settings settings,
            SystemTimers timers,
            Runnable onGiveUp,
            Optional<ProcessorSource> processors,
            Function<OperatorHttpHandler, List<Component>> gateways)
            throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
        RpcRouter router = new RpcRouter();
        TcpRpcClient rpc = new TcpRpcClient(settings.address(), settings.listenAddress(), codec, router, timers);
        RingWriteAheadLog wal;
        try {
            wal = RingWriteAheadLog.open(
                    new FolderDisk(Path.of(settings.data(), "ring")),
                    timers,
                    settings.ringFiles(),
                    settings.ringFileMb() << MEBIBYTE_SHIFT);
        } catch (IOException e) {
            throw new UnavailableException("Cannot open the data folder " + settings.data() + ": " + e.getMessage());
        }
        wal.onFailure(reason -> onGiveUp.run());
        SecureRandom random = new SecureRandom();
        CoreMembersFile membersFile = new CoreMembersFile(settings.data());
        NodeEnvironment environment = new NodeEnvironment(
                new SystemClock(), timers, rpc, codec, wal, random::nextLong, ReplicationTiming.partitions());
        CoreClient core =
                new CoreClient(rpc, random::nextLong, settings.seeds(), membersFile.read(), membersFile::write);
        ControlNode node = new ControlNode(
                environment,
                core,
                settings.join() ? List.of() : settings.seeds(),
                settings.zone(),
                settings.faultTolerance());
        node.route(router);
        OperatorHttpHandler operatorHandler = new OperatorHttpHandler(node, settings.operatorKeySha256());
        operatorHandler.route(router);
        DRAIN.set(() -> drain(node, settings.gracePeriod()));
        Supervisor supervisor =
                new Supervisor("controlplane", timers, onGiveUp).with(rpc).with(node);
        processors.ifPresent(processorSource ->
                supervisor.with(new ProcessorRegistry(environment, node, processorSource, REGISTRY_PERIOD)));
        gateways.apply(operatorHandler).forEach(supervisor::with);
        return supervisor;
    }

    private static void drain(ControlNode node, Duration gracePeriod) {
        Duration share = gracePeriod.dividedBy(GRACE_PERIOD_DIVISOR);
        Duration limit = share.compareTo(DRAIN_LIMIT) < 0 ? share : DRAIN_LIMIT;
        long began = System.nanoTime();
        while (!node.drain() && System.nanoTime() - began < limit.toNanos()) {
            LockSupport.parkNanos(DRAIN_CHECK_INTERVAL.toNanos());
        }
    }
}
