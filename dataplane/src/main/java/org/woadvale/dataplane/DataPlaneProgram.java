package org.woadvale.dataplane;

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
import org.woadvale.common.membership.CoreMembers;
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
import org.woadvale.common.wal.DisabledWriteAheadLog;
import org.woadvale.common.wal.FolderDisk;
import org.woadvale.common.wal.RingWriteAheadLog;
import org.woadvale.common.wal.WriteAheadLog;
import org.woadvale.dataplane.delivery.DeliveryProtocol;
import org.woadvale.dataplane.delivery.HttpDeliveryClient;
import org.woadvale.dataplane.delivery.NativeDeliveryProtocol;
import org.woadvale.dataplane.ingress.IngressApi;
import org.woadvale.dataplane.queue.MessageCommands;

/** Entry point of the data plane process. */
public final class DataPlaneProgram {
    private static final AtomicReference<Runnable> DRAIN = new AtomicReference<>(() -> {});

    private static final int MEBIBYTE_SHIFT = 20;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private DataPlaneProgram() {}

    /** Runs the program; see {@code --help}. */
    public static void main(String[] args) {
        System.exit(new Program("dataplane", DataPlaneProgram::check, DataPlaneProgram::createSupervisor, DRAIN::get)
                .main(args));
    }

    /** Drains the running node; does nothing before the node is created. */
    public static void drain() {
        DRAIN.get().run();
    }

    /** Checks the constraints of the data plane that the annotations of the settings cannot express. */
    public static void check(Settings settings) throws ServiceException {
        if (settings.roles().isEmpty()) {
            throw new InvalidRequestException("The boot file is invalid at roles: name intake, store or both.");
        }
        if (settings.join()) {
            throw new InvalidRequestException("The boot file is invalid at join: only control nodes have it.");
        }
    }

    static Supervisor createSupervisor(Settings settings, SystemTimers timers, Runnable onGivenUp)
            throws ServiceException {
        return createSupervisor(
                settings,
                timers,
                onGivenUp,
                new NativeDeliveryProtocol(),
                node -> List.of(new HttpGateway(settings.http(), IngressApi.MAX_BODY, node::handle)));
    }

    /**
     * Creates the supervisor of a node with the given delivery protocol and gateways. (docs/design.md, section 1)
     *
     * @param gatewayFactory creates the components that accept requests for the node
     */
    public static Supervisor createSupervisor(
            Settings settings,
            SystemTimers timers,
            Runnable onGivenUp,
            DeliveryProtocol protocol,
            Function<DataPlaneNode, List<Component>> gatewayFactory)
            throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        RpcRouter router = new RpcRouter();
        TcpRpcClient rpc = new TcpRpcClient(settings.address(), settings.listenAddress(), codec, router, timers);
        WriteAheadLog wal = wal(settings, timers);
        wal.onFailure(reason -> onGivenUp.run());
        SecureRandom random = new SecureRandom();
        Optional<CoreMembersFile> membersFile =
                settings.data().isEmpty() ? Optional.empty() : Optional.of(new CoreMembersFile(settings.data()));
        NodeEnvironment environment = new NodeEnvironment(
                new SystemClock(),
                timers,
                rpc,
                codec,
                wal,
                random::nextLong,
                settings.roles().contains("store") ? ReplicationTiming.partitions() : ReplicationTiming.defaults());
        CoreClient core = new CoreClient(
                rpc,
                random::nextLong,
                settings.seeds(),
                membersFile.map(CoreMembersFile::read).orElse(CoreMembers.unknown()),
                members -> membersFile.ifPresent(file -> file.write(members)));
        DataPlaneNode node = new DataPlaneNode(environment, settings, core, new HttpDeliveryClient(), protocol);
        node.route(router);
        Supervisor supervisor =
                new Supervisor("dataplane", timers, onGivenUp).with(rpc).with(node);
        List<Component> gateways = gatewayFactory.apply(node);
        gateways.forEach(supervisor::with);
        DRAIN.set(() -> drain(node, gateways, settings));
        return supervisor;
    }

    private static WriteAheadLog wal(Settings settings, SystemTimers timers) throws ServiceException {
        if (!settings.roles().contains("store")) {
            return new DisabledWriteAheadLog();
        }
        try {
            return RingWriteAheadLog.open(
                    new FolderDisk(Path.of(settings.data(), "ring")),
                    timers,
                    settings.ringFiles(),
                    settings.ringFileMb() << MEBIBYTE_SHIFT);
        } catch (IOException e) {
            throw new UnavailableException("Cannot open the data folder " + settings.data() + ": " + e.getMessage());
        }
    }

    /** Runs the planned stop of the node; returns when its components may stop. (docs/design.md, section 10.2) */
    private static void drain(DataPlaneNode node, List<Component> gateways, Settings settings) {
        gateways.stream()
                .filter(HttpGateway.class::isInstance)
                .forEach(component -> ((HttpGateway) component).closeAfterNextResponse());
        PlannedStop stop = new PlannedStop(
                new SystemClock(), node, settings.gracePeriod(), Duration.ofMillis(settings.lingerMs()));
        while (!stop.advance()) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
