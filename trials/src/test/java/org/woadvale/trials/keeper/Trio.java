package org.woadvale.trials.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Router;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Machine;
import org.woadvale.foundation.keeper.Messages;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.keeper.Phase;
import org.woadvale.foundation.keeper.Replica;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.logbook.RingLogbook;
import org.woadvale.foundation.watch.Wire;
import org.woadvale.trials.squall.Harness;
import org.woadvale.trials.squall.Sim;
import org.woadvale.trials.squall.SimNet;

import reactor.core.publisher.Mono;

/** One part on three (or more) simulated hosts, with a machine that keeps a list of words. */
final class Trio {
    static final class Words implements Machine {
        final List<String> words = new ArrayList<>();
        private final Codec codec;

        Words(Codec codec) {
            this.codec = codec;
        }

        @Override
        public Object apply(long index, Object command) {
            if (!words.contains(command)) {
                words.add((String) command);
            }
            return command;
        }

        @Override
        public byte[] view() {
            return codec.write(new ArrayList<>(words));
        }

        @Override
        public void restore(byte[] view) {
            try {
                words.clear();
                codec.read(view, List.class).forEach(w -> words.add((String) w));
            } catch (Fault e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static final String PART = "m0";
    final Sim sim;
    final SimNet net;
    final Codec codec = Wire.codec(Wire.PILOT, List.of());
    final Map<String, Harness> hosts = new LinkedHashMap<>();
    final Map<String, Replica> replicas = new LinkedHashMap<>();
    final Map<String, Words> words = new LinkedHashMap<>();
    List<String> wanted = List.of("a:1", "b:1", "c:1");

    Trio(long seed) throws Fault {
        sim = new Sim(seed);
        net = new SimNet(sim);
        for (String n : wanted) {
            add(n);
        }
    }

    void add(String n) throws Fault {
        hosts.put(n, new Harness(n, sim, net));
        start(n);
    }

    void start(String n) throws Fault {
        Harness h = hosts.get(n);
        Router r = new Router();
        h.boot(r);
        RingLogbook book = RingLogbook.open(h.disk(), h.host(), 4, 512 << 10);
        book.onFailure(why -> h.kill());
        Env env = new Env(h.host(), h.host(), h.beam(codec), codec, book, sim.random()::nextLong, Pace.usual());
        Words m = new Words(codec);
        Replica replica = new Replica(PART, wanted, m, env);
        Messages.types().forEach(t -> r.on(t, (from, a) -> replica.handle(from, a)));
        words.put(n, m);
        replicas.put(n, replica);
        replica.start(book.recovered().getOrDefault(PART, List.of()));
    }

    void want(List<String> members) {
        wanted = members;
        replicas.values().forEach(r -> r.want(members));
    }

    Optional<String> owner() {
        return replicas.entrySet().stream()
            .filter(e -> hosts.get(e.getKey()).alive() && e.getValue().phase() == Phase.OWNING && e.getValue().mayAct())
            .map(Map.Entry::getKey).findFirst();
    }

    long owners() {
        return replicas.entrySet().stream()
            .filter(e -> hosts.get(e.getKey()).alive() && e.getValue().mayAct()).count();
    }

    String awaitOwner() {
        if (!sim.runUntil(() -> owner().isPresent(), Duration.ofSeconds(20))) {
            throw new AssertionError("nobody owns the part");
        }
        return owner().orElseThrow();
    }

    /** Proposes at the owner; the answer, or the fault's kind. */
    String say(String word) {
        return sayAt(awaitOwner(), word);
    }

    String sayAt(String n, String word) {
        String[] out = {"open"};
        Mono<String> m = replicas.get(n).propose(word, String.class);
        m.subscribe(x -> out[0] = x, e -> out[0] = Fault.of(e).kind().word());
        sim.runUntil(() -> !out[0].equals("open"), Duration.ofSeconds(10));
        return out[0];
    }
}
