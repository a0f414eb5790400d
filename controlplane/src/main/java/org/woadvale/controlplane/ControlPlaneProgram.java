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

/** The control plane program. */
public final class ControlPlaneProgram {
    private static final AtomicReference<Runnable> DRAIN = new AtomicReference<>(() -> {});

    private static final Duration DRAIN_LOOK = Duration.ofMillis(50);
    /** Three seconds at most: a successor that is there counts everywhere by then, and the grace period is longer. */
    private static final int DRAIN_LOOKS = 60;

    private static final Duration ROLL = Duration.ofMillis(700);

    private ControlPlaneProgram() {}

    public static void main(String[] args) {
        System.exit(new Program("lighthouse", ControlPlaneProgram::check, ControlPlaneProgram::grow, DRAIN::get)
                .main(args));
    }

    /** The running node's orderly way out; nothing before it runs. */
    public static void drain() {
        DRAIN.get().run();
    }

    public static void check(Settings settings) throws ServiceException {
        if (settings.data().isEmpty()) {
            throw new InvalidRequestException("The boot file is invalid at data: a lighthouse needs a data folder.");
        }
        if (!settings.join() && !settings.seeds().contains(settings.address())) {
            throw new InvalidRequestException(
                    "The boot file is invalid at seeds: the first lighthouses name themselves; set join for a later one.");
        }
        if (!settings.roles().isEmpty()) {
            throw new InvalidRequestException("The boot file is invalid at roles: a lighthouse has none.");
        }
    }

    static Supervisor grow(Settings settings, SystemTimers schedules, Runnable onGivenUp) throws ServiceException {
        return grow(
                settings,
                schedules,
                onGivenUp,
                Optional.empty(),
                handler -> List.of(new HttpGateway(
                        settings.http(), OperatorHttpHandler.MAX_CONFIGURATION_BYTES, handler::handle)));
    }

    /** The tree with other doors for operators, and with a registry that has the processors. design 1 */
    public static Supervisor grow(
            Settings settings,
            SystemTimers schedules,
            Runnable onGivenUp,
            Optional<ProcessorSource> registry,
            Function<OperatorHttpHandler, List<Component>> doors)
            throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
        RpcRouter router = new RpcRouter();
        TcpRpcClient rpc = new TcpRpcClient(settings.address(), settings.listenAt(), codec, router, schedules);
        RingWriteAheadLog book;
        try {
            book = RingWriteAheadLog.open(
                    new FolderDisk(Path.of(settings.data(), "ring")),
                    schedules,
                    settings.ringFiles(),
                    settings.ringFileMb() << 20);
        } catch (IOException e) {
            throw new UnavailableException("Cannot open the data folder " + settings.data() + ": " + e.getMessage());
        }
        book.onFailure(why -> onGivenUp.run());
        SecureRandom random = new SecureRandom();
        CoreMembersFile known = new CoreMembersFile(settings.data());
        NodeEnvironment environment = new NodeEnvironment(
                new SystemClock(), schedules, rpc, codec, book, random::nextLong, ReplicationTiming.partitions());
        CoreClient core = new CoreClient(rpc, random::nextLong, settings.seeds(), known.read(), known::write);
        ControlNode node =
                new ControlNode(environment, core, settings.join() ? List.of() : settings.seeds(), settings.zone());
        node.route(router);
        OperatorHttpHandler operators = new OperatorHttpHandler(node, settings.operatorKeySha256());
        operators.route(router);
        DRAIN.set(() -> drain(node));
        Supervisor tree =
                new Supervisor("lighthouse", schedules, onGivenUp).with(rpc).with(node);
        registry.ifPresent(
                processorSource -> tree.with(new ProcessorRegistry(environment, node, processorSource, ROLL)));
        doors.apply(operators).forEach(tree::with);
        return tree;
    }

    private static void drain(ControlNode node) {
        for (int i = 0; i < DRAIN_LOOKS && !node.drain(); i++) {
            LockSupport.parkNanos(DRAIN_LOOK.toNanos());
        }
    }
}
