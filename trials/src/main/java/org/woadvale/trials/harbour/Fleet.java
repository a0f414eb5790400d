package org.woadvale.trials.harbour;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.woadvale.lighthouse.Lighthouse;
import org.woadvale.pilot.Pilot;

/** A whole fleet of real processes on loopback. */
public final class Fleet implements AutoCloseable {
    public final List<Vessel> lighthouses = new ArrayList<>();
    public final List<Vessel> intakes = new ArrayList<>();
    public final List<Vessel> stores = new ArrayList<>();
    private final Path root;
    private final List<String> seeds;

    public Fleet(Shape shape, Path root) throws IOException {
        this.root = root;
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < shape.lighthouses; i++) {
            addresses.add(free());
        }
        seeds = List.copyOf(addresses);
        for (int i = 0; i < shape.lighthouses; i++) {
            lighthouses.add(new Vessel("lighthouse" + i, Lighthouse.class.getName(), root, seeds.get(i), free(),
                hall(i, shape), seeds, List.of(), true, false));
        }
        for (int i = 0; i < shape.stores; i++) {
            stores.add(pilot("store" + i, hall(i, shape), "store"));
        }
        for (int i = 0; i < shape.intakes; i++) {
            intakes.add(pilot("intake" + i, hall(i, shape), "intake"));
        }
    }

    private static String hall(int i, Shape shape) {
        return "hall" + i % shape.halls;
    }

    public Vessel pilot(String name, String hall, String role) throws IOException {
        return new Vessel(name, Pilot.class.getName(), root, free(), free(), hall, seeds, List.of(role),
            role.equals("store"), false);
    }

    /** An ephemeral port that was free a moment ago. */
    static String free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    public List<Vessel> all() {
        return Stream.of(lighthouses, stores, intakes).flatMap(List::stream).toList();
    }

    public void startAll() throws IOException {
        for (Vessel v : all()) {
            v.start();
        }
    }

    public void killAll() {
        all().forEach(Vessel::kill);
    }

    public Optional<Vessel> byName(String name) {
        return all().stream().filter(v -> v.name.equals(name)).findFirst();
    }

    @Override
    public void close() {
        killAll();
    }
}
