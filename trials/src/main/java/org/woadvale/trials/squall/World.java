package org.woadvale.trials.squall;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.woadvale.foundation.beam.Beam;
import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Router;
import org.woadvale.foundation.chart.Boot;
import org.woadvale.foundation.gate.Answer;
import org.woadvale.foundation.gate.Request;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.logbook.Logbook;
import org.woadvale.foundation.logbook.NoLogbook;
import org.woadvale.foundation.logbook.RingLogbook;
import org.woadvale.foundation.keeper.Phase;
import org.woadvale.foundation.watch.Core;
import org.woadvale.foundation.watch.Places;
import org.woadvale.foundation.watch.Wire;
import org.woadvale.lighthouse.lamp.LampNode;
import org.woadvale.lighthouse.lamp.Operators;
import org.woadvale.pilot.PilotNode;
import org.woadvale.pilot.berth.Commands;
import org.woadvale.trials.buoy.Backend;
import org.woadvale.trials.buoy.Scenery;
import org.woadvale.trials.buoy.Sightings;

/** A whole fleet of the shipped nodes on fakes: design 12.1. */
public final class World extends Machines {
    private static final int RING_FILES = 8;
    /** Small, so that storms meet the ring's end too. */
    static final int SMALL_RING = 512 << 10;
    static final int LARGE_RING = 4 << 20;

    public final Sightings seen = new Sightings();
    public final Scenery scenery;
    public final Map<String, Backend> backends = new LinkedHashMap<>();
    public final SimPost post;
    private final int ringBytes;
    private final List<String> seeds;
    private final Map<String, LampNode> lamps = new HashMap<>();
    private final Map<String, Operators> operators = new HashMap<>();
    private final Map<String, PilotNode> pilots = new HashMap<>();
    private final Seams seams;

    public World(long seed, int intakeCount, int storeCount, Scenery scenery, int ringBytes, int hallCount, Seams seams)
            throws Fault {
        super(new Sim(seed), hallCount);
        this.seams = seams;
        this.ringBytes = ringBytes;
        this.post = new SimPost(this);
        this.scenery = scenery;
        scenery.allow(seen);
        for (int i = 0; i < 3; i++) {
            lighthouses.add(host("10.0.0." + (i + 1) + ":1", i));
        }
        seeds = List.copyOf(lighthouses);
        for (int i = 0; i < storeCount; i++) {
            stores.add(host("10.0.1." + (i + 1) + ":1", i));
        }
        for (int i = 0; i < intakeCount; i++) {
            intakes.add(host("10.0.2." + (i + 1) + ":1", i));
        }
        for (String h : List.copyOf(hosts.keySet())) {
            start(h);
        }
    }

    /** A lighthouse that joins a running core. */
    public String newLighthouse() throws Fault {
        String a = host("10.0.0." + (lighthouses.size() + 1) + ":1", lighthouses.size());
        lighthouses.add(a);
        start(a);
        return a;
    }

    /** A machine that was not there before. */
    public String newStore() throws Fault {
        String a = host("10.0.1." + (stores.size() + 1) + ":1", stores.size());
        stores.add(a);
        start(a);
        return a;
    }

    public Backend addBackend(String id, String service, boolean paced) {
        Backend b = new Backend(id, service, paced, seen, post.clock(), post.clock(), sim.random()::nextLong);
        backends.put(id, b);
        post.place(id, b);
        return b;
    }

    /** The process of a back end is gone; another takes its id, at another address and without its memory. */
    public Backend replaceBackend(String id) {
        Backend old = backends.get(id);
        old.crash();
        return addBackend(id, old.service(), old.paced());
    }

    public void start(String address) throws Fault {
        Host h = hosts.get(address);
        boolean lamp = lighthouses.contains(address);
        boolean store = stores.contains(address);
        Router router = new Router();
        Codec codec = lamp ? Wire.codec(Wire.LIGHTHOUSE, Operators.types()) : Wire.codec(Wire.PILOT, Commands.types());
        h.boot(router);
        Beam beam = seams.beam().apply(address, net.beam(h, codec));
        Logbook book = lamp || store ? RingLogbook.open(seams.disk().apply(address, h.disk), h, RING_FILES, ringBytes)
            : new NoLogbook();
        book.onFailure(why -> h.kill());
        Env env = new Env(seams.times().apply(address, h), h, beam, codec, book, sim.random()::nextLong,
            seams.pace().apply(lamp || store ? Pace.core() : Pace.usual()));
        Core core = new Core(beam, sim.random()::nextLong, seeds, List.of(), l -> { });
        if (lamp) {
            LampNode n = new LampNode(env, core, seeds.contains(address) ? seeds : List.of());
            n.route(router);
            Operators o = new Operators(n, "");
            o.route(router);
            lamps.put(address, n);
            operators.put(address, o);
            n.start();
        } else {
            Boot boot = new Boot(address, address, hall(address), seeds, Set.of(store ? "store" : "intake"),
                store ? "x" : "", RING_FILES, 1, "", false, 8, "");
            PilotNode n = new PilotNode(env, boot, core, seams.post().apply(address, post.from(h)));
            n.route(router);
            pilots.put(address, n);
            n.start();
        }
    }

    public void restart(String address) throws Fault {
        if (!lost.contains(address) && !hosts.get(address).alive()) {
            start(address);
        }
    }

    /** A restart within an event of the simulator. */
    void begin(String address) {
        try {
            restart(address);
        } catch (Fault e) {
            throw new IllegalStateException(e);
        }
    }

    public PilotNode pilot(String address) {
        return pilots.get(address);
    }

    public LampNode lamp(String address) {
        return lamps.get(address);
    }

    /** A request from outside to one node; no answer at all if the node dies or stays away. */
    public void request(String to, Request q, Duration limit, java.util.function.Consumer<Optional<Answer>> then) {
        reach(to, () -> lighthouses.contains(to) ? operators.get(to).answer(q) : pilots.get(to).answer(q), limit, then);
    }

    /** What each node that answers says of the layout it uses. */
    public void seenVersions() {
        pilots.forEach((a, p) -> {
            if (hosts.get(a).alive() && !hosts.get(a).paused()) {
                seen.saw(seen.versions, new Sightings.NodeVersion(a, (Long) p.status().get("layout"), sim.now()));
            }
        });
    }

    /** Everything that was not lost is up, and every copy that was lost has been made anew elsewhere. */
    public boolean repaired() {
        return hosts.keySet().stream().allMatch(h -> lost(h) || hosts.get(h).alive())
            && presentStores().stream().allMatch(s -> pilots.get(s).status().get("seated").equals(true)
                && pilots.get(s).groups().values().stream().noneMatch(g -> g.stream().anyMatch(this::lost)))
            && presentLighthouses().stream().allMatch(l -> Places.controlParts().stream().allMatch(p ->
                lamps.get(l).replica(p).phase() != Phase.BLANK && lamps.get(l).replica(p).phase() != Phase.STOPPED
                && lamps.get(l).replica(p).group().keySet().stream().noneMatch(this::lost)));
    }

    public boolean ready() {
        return intakes.stream().allMatch(i -> hosts.get(i).alive() && pilots.get(i).ready());
    }
}
