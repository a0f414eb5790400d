package org.woadvale.lighthouse;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.Optional;
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
import org.woadvale.foundation.logbook.RingLogbook;
import org.woadvale.foundation.watch.Core;
import org.woadvale.foundation.watch.Wire;
import org.woadvale.lighthouse.lamp.LampNode;
import org.woadvale.lighthouse.lamp.Operators;
import org.woadvale.lighthouse.lamp.Registry;
import org.woadvale.lighthouse.lamp.Roll;

/** The control plane program. */
public final class Lighthouse {
    private static final AtomicReference<Runnable> DRAIN = new AtomicReference<>(() -> { });

    private static final Duration ROLL = Duration.ofMillis(700);

    private Lighthouse() { }

    public static void main(String[] args) {
        System.exit(new Program("lighthouse", Lighthouse::check, Lighthouse::grow, DRAIN::get).main(args));
    }

    /** The running node's orderly way out; nothing before it runs. */
    public static void drain() {
        DRAIN.get().run();
    }

    public static void check(Boot b) throws Fault {
        if (b.data().isEmpty()) {
            throw new Fault(ErrorKind.BAD_REQUEST, "The boot file is invalid at data: a lighthouse needs a data folder.");
        }
        if (!b.join() && !b.seeds().contains(b.address())) {
            throw new Fault(ErrorKind.BAD_REQUEST,
                "The boot file is invalid at seeds: the first lighthouses name themselves; set join for a later one.");
        }
        if (!b.roles().isEmpty()) {
            throw new Fault(ErrorKind.BAD_REQUEST, "The boot file is invalid at roles: a lighthouse has none.");
        }
    }

    static Supervisor grow(Boot b, RealSchedules schedules, Runnable onGivenUp) throws Fault {
        return grow(b, schedules, onGivenUp, Optional.empty(),
            o -> List.of(new Gate(b.http(), Operators.MAX_LAYOUT, o::answer)));
    }

    /** The tree with other doors for operators, and with a registry that has the processors. design 1 */
    public static Supervisor grow(Boot b, RealSchedules schedules, Runnable onGivenUp, Optional<Registry> registry,
                                  Function<Operators, List<Component>> doors) throws Fault {
        Codec codec = Wire.codec(Wire.LIGHTHOUSE, Operators.types());
        Router router = new Router();
        TcpBeam beam = new TcpBeam(b.address(), b.listenAt(), codec, router, schedules);
        RingLogbook book;
        try {
            book = RingLogbook.open(new FolderDisk(Path.of(b.data(), "ring")), schedules, b.ringFiles(),
                b.ringFileMb() << 20);
        } catch (IOException e) {
            throw new Fault(ErrorKind.UNAVAILABLE, "Cannot open the data folder " + b.data() + ": " + e.getMessage());
        }
        book.onFailure(why -> onGivenUp.run());
        SecureRandom random = new SecureRandom();
        KnownFile known = new KnownFile(b.data());
        Env env = new Env(new RealTimes(), schedules, beam, codec, book, random::nextLong, Pace.core());
        Core core = new Core(beam, random::nextLong, b.seeds(), known.read(), known::write);
        LampNode node = new LampNode(env, core, b.join() ? List.of() : b.seeds());
        node.route(router);
        Operators operators = new Operators(node, b.operatorKeySha256());
        operators.route(router);
        DRAIN.set(() -> drain(node));
        Supervisor tree = new Supervisor("lighthouse", schedules, onGivenUp).with(beam).with(node);
        registry.ifPresent(r -> tree.with(new Roll(env, node, r, ROLL)));
        doors.apply(operators).forEach(tree::with);
        return tree;
    }

    private static void drain(LampNode node) {
        for (int i = 0; i < 30 && !node.drain(); i++) {
            java.util.concurrent.locks.LockSupport.parkNanos(50_000_000L);
        }
    }
}
