package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.woadvale.controlplane.ControlPlaneProgram;
import org.woadvale.dataplane.DataPlaneProgram;

/** A fleet of operating-system processes on the loopback interface. */
public final class Fleet implements AutoCloseable {
    private static final int LOWEST_PORT = 15000;
    private static final int HIGHEST_PORT = 32000;
    private static final Set<Integer> ALLOCATED_PORTS = new HashSet<>();
    public final List<NodeProcess> controlNodes = new ArrayList<>();
    public final List<NodeProcess> intakes = new ArrayList<>();
    public final List<NodeProcess> stores = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();
    private final Path root;
    private final List<String> seeds;

    public Fleet(Shape shape, Path root) throws IOException {
        this.root = root;
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < shape.controlNodes; i++) {
            addresses.add(free());
        }
        seeds = List.copyOf(addresses);
        for (int i = 0; i < shape.controlNodes; i++) {
            controlNodes.add(new NodeProcess(
                    "control" + i,
                    ControlPlaneProgram.class.getName(),
                    root,
                    seeds.get(i),
                    free(),
                    zone(i, shape),
                    seeds,
                    List.of(),
                    true,
                    false));
        }
        for (int i = 0; i < shape.stores; i++) {
            stores.add(dataNode("store" + i, zone(i, shape), "store"));
        }
        for (int i = 0; i < shape.intakes; i++) {
            intakes.add(dataNode("intake" + i, zone(i, shape), "intake"));
        }
    }

    private static String zone(int i, Shape shape) {
        return "hall" + i % shape.zones;
    }

    public NodeProcess dataNode(String name, String zone, String role) throws IOException {
        return new NodeProcess(
                name,
                DataPlaneProgram.class.getName(),
                root,
                free(),
                free(),
                zone,
                seeds,
                List.of(role),
                role.equals("store"),
                false);
    }

    /**
     * A free loopback address whose port was not handed out before. The port lies below the kernel's ephemeral range;
     * otherwise an outgoing connection could occupy it before the process starts.
     */
    public static synchronized String free() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = LOWEST_PORT + ThreadLocalRandom.current().nextInt(HIGHEST_PORT - LOWEST_PORT);
            if (ALLOCATED_PORTS.add(port)) {
                try (ServerSocket serverSocket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    return "127.0.0.1:" + serverSocket.getLocalPort();
                } catch (BindException e) {
                    // another program uses the port; tries the next one
                }
            }
        }
        throw new IOException("no free port");
    }

    /** Places a relay in front of every process; no process may have been started yet. */
    public Relay.Cuts relayed() throws IOException {
        Relay.Cuts cuts = new Relay.Cuts();
        for (NodeProcess process : all()) {
            String listen = free();
            process.boot("listen", listen);
            relays.add(new Relay(process.address, listen, cuts));
        }
        return cuts;
    }

    public List<NodeProcess> inZone(int zone, Shape shape) {
        return Stream.of(controlNodes, stores, intakes)
                .flatMap(l -> IntStream.range(0, l.size())
                        .filter(i -> i % shape.zones == zone)
                        .mapToObj(l::get))
                .toList();
    }

    public List<NodeProcess> all() {
        return Stream.of(controlNodes, stores, intakes).flatMap(List::stream).toList();
    }

    public void startAll() throws IOException {
        for (NodeProcess process : all()) {
            process.start();
        }
    }

    public void killAll() {
        all().forEach(NodeProcess::kill);
    }

    public Optional<NodeProcess> byName(String name) {
        return all().stream().filter(process -> process.name.equals(name)).findFirst();
    }

    @Override
    public void close() {
        killAll();
        for (Relay relay : relays) {
            try {
                relay.close();
            } catch (IOException e) {
                System.out.println("Cannot close a relay: " + e.getMessage());
            }
        }
    }
}
