package org.woadvale.pilot;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Router;
import org.woadvale.foundation.beam.TcpBeam;
import org.woadvale.foundation.chart.Boot;
import org.woadvale.foundation.gate.Gate;
import org.woadvale.foundation.helm.KnownFile;
import org.woadvale.foundation.helm.Program;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.lantern.Component;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.RealSchedules;
import org.woadvale.foundation.lantern.RealTimes;
import org.woadvale.foundation.lantern.Supervisor;
import org.woadvale.foundation.logbook.FolderDisk;
import org.woadvale.foundation.logbook.Logbook;
import org.woadvale.foundation.logbook.NoLogbook;
import org.woadvale.foundation.logbook.RingLogbook;
import org.woadvale.foundation.watch.Core;
import org.woadvale.foundation.watch.Wire;
import org.woadvale.pilot.berth.Commands;
import org.woadvale.pilot.gangway.Gangway;
import org.woadvale.pilot.launch.HttpPost;
import org.woadvale.pilot.launch.OwnSpeech;
import org.woadvale.pilot.launch.Speech;

/** The data plane program. */
public final class Pilot {
    private static final AtomicReference<Runnable> DRAIN = new AtomicReference<>(() -> { });

    private static final Duration MOVES = Duration.ofMillis(1500);
    private static final Duration RUNS = Duration.ofMillis(2000);
    private static final Duration STEP = Duration.ofMillis(50);

    private Pilot() { }

    public static void main(String[] args) {
        System.exit(new Program("pilot", Pilot::check, Pilot::grow, DRAIN::get).main(args));
    }

    /** The running node's orderly way out; nothing before it runs. */
    public static void drain() {
        DRAIN.get().run();
    }

    public static void check(Boot b) throws Fault {
        if (b.roles().isEmpty()) {
            throw new Fault(ErrorKind.BAD_REQUEST, "The boot file is invalid at roles: name intake, store or both.");
        }
        if (b.join()) {
            throw new Fault(ErrorKind.BAD_REQUEST, "The boot file is invalid at join: only lighthouses have it.");
        }
    }

    static Supervisor grow(Boot b, RealSchedules schedules, Runnable onGivenUp) throws Fault {
        return grow(b, schedules, onGivenUp, new OwnSpeech(),
            node -> List.of(new Gate(b.http(), Gangway.MAX_BODY, node::answer)));
    }

    /** The tree with other doors, and another way of speaking to back ends. design 1 */
    public static Supervisor grow(Boot b, RealSchedules schedules, Runnable onGivenUp, Speech speech,
                                  Function<PilotNode, List<Component>> doors) throws Fault {
        Codec codec = Wire.codec(Wire.PILOT, Commands.types());
        Router router = new Router();
        TcpBeam beam = new TcpBeam(b.address(), b.listenAt(), codec, router, schedules);
        Logbook book = logbook(b, schedules);
        book.onFailure(why -> onGivenUp.run());
        SecureRandom random = new SecureRandom();
        Optional<KnownFile> known = b.data().isEmpty() ? Optional.empty() : Optional.of(new KnownFile(b.data()));
        Env env = new Env(new RealTimes(), schedules, beam, codec, book, random::nextLong,
            b.roles().contains("store") ? Pace.core() : Pace.usual());
        Core core = new Core(beam, random::nextLong, b.seeds(), known.map(KnownFile::read).orElse(List.of()),
            l -> known.ifPresent(k -> k.write(l)));
        PilotNode node = new PilotNode(env, b, core, new HttpPost(), speech);
        node.route(router);
        Supervisor tree = new Supervisor("pilot", schedules, onGivenUp).with(beam).with(node);
        List<Component> gates = doors.apply(node);
        gates.forEach(tree::with);
        DRAIN.set(() -> drain(node, gates, Duration.ofMillis(b.lingerMs())));
        return tree;
    }

    private static Logbook logbook(Boot b, RealSchedules schedules) throws Fault {
        if (!b.roles().contains("store")) {
            return new NoLogbook();
        }
        try {
            return RingLogbook.open(new FolderDisk(Path.of(b.data(), "ring")), schedules, b.ringFiles(),
                b.ringFileMb() << 20);
        } catch (IOException e) {
            throw new Fault(ErrorKind.UNAVAILABLE, "Cannot open the data folder " + b.data() + ": " + e.getMessage());
        }
    }

    /** Parts and duties move away before the stop, and what is under way ends; each wait is bounded. design 10.2 */
    private static void drain(PilotNode node, List<Component> gates, Duration linger) {
        gates.stream().filter(Gate.class::isInstance).forEach(g -> ((Gate) g).closeSoon());
        await(MOVES, node::drain);
        await(RUNS, node::idle);
        pause(linger.isZero() ? Duration.ofMillis(100) : linger);
    }

    private static void await(Duration most, BooleanSupplier done) {
        for (long left = most.toMillis(); left > 0 && !done.getAsBoolean(); left -= STEP.toMillis()) {
            pause(STEP);
        }
    }

    private static void pause(Duration d) {
        java.util.concurrent.locks.LockSupport.parkNanos(d.toNanos());
    }
}
