package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own processes on loopback addresses, started with the commands of the deploy file and with settings
 * files as the deployment page describes them. One node stands for one machine with one role.
 */
final class Deployment implements AutoCloseable {
    /** One machine with one role. */
    static final class Node {
        final String name;
        final String role;
        final String ip;
        final String zone;
        final Path folder;
        Process process;
        int starts;

        Node(String name, String role, String ip, String zone, Path folder) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
            this.folder = folder;
        }

        boolean running() {
            return process != null && process.isAlive();
        }
    }

    private static final int ATTEMPTS_TO_FIND_PORTS = 50;

    final Path root;
    final List<Node> control = new ArrayList<>();
    final List<Node> stores = new ArrayList<>();
    final List<Node> fronts = new ArrayList<>();
    private final Record record;
    private final Map<String, List<String>> commands = new HashMap<>();
    private final int machineLosses;
    private final String network;
    private final int firstPort;
    private boolean closed;

    Deployment(Record record, int controlNodes, int storeNodes, int frontNodes, int machineLosses) throws IOException {
        this.record = record;
        this.machineLosses = machineLosses;
        this.root = Files.createTempDirectory("woadvale-review");
        readCommands();
        int machines = controlNodes + storeNodes + frontNodes;
        String chosen = "";
        int port = 0;
        for (int i = 0; i < ATTEMPTS_TO_FIND_PORTS && chosen.isEmpty(); i++) {
            String candidate = "127." + ThreadLocalRandom.current().nextInt(16, 200) + "."
                    + ThreadLocalRandom.current().nextInt(1, 250) + ".";
            port = ThreadLocalRandom.current().nextInt(200, 300) * 100;
            if (free(candidate, port, machines)) {
                chosen = candidate;
            }
        }
        if (chosen.isEmpty()) {
            throw new IOException("no free ports were found");
        }
        this.network = chosen;
        this.firstPort = port;
        for (int i = 0; i < controlNodes; i++) {
            control.add(node("core-" + i, "control", i));
        }
        for (int i = 0; i < storeNodes; i++) {
            stores.add(node("store-" + i, "store", controlNodes + i));
        }
        for (int i = 0; i < frontNodes; i++) {
            fronts.add(node("front-" + i, "intake", controlNodes + storeNodes + i));
        }
    }

    private Node node(String name, String role, int number) throws IOException {
        Path folder = Files.createDirectories(root.resolve(name));
        return new Node(name, role, network + (number + 1), "zone-" + "abc".charAt(number % 3), folder);
    }

    private static boolean free(String network, int port, int machines) {
        for (int i = 1; i <= machines + 1; i++) {
            for (int offset : new int[] {0, 1, 20, 21, 22, 23}) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(network + i, port + offset));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Program and arguments of each role, as the deploy file has them. */
    private void readCommands() throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\.([a-z]+)\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        while (matcher.find()) {
            commands.put(matcher.group(1), Arrays.asList(matcher.group(2).split(" ")));
        }
    }

    InetSocketAddress front(Node node) {
        return new InetSocketAddress(node.ip, firstPort + 20);
    }

    InetSocketAddress readiness(Node node) {
        return new InetSocketAddress(node.ip, firstPort + 21);
    }

    InetSocketAddress controlAddress(Node node) {
        return new InetSocketAddress(node.ip, firstPort + 22);
    }

    /** Where the stand-in of the platform listens. */
    InetSocketAddress platform() {
        return new InetSocketAddress(network + (control.size() + stores.size() + fronts.size() + 1), firstPort + 23);
    }

    /** An address of the fleet's network for a stand-in of a processor; the system picks the port. */
    String standInIp() {
        return platform().getAddress().getHostAddress();
    }

    List<Node> all() {
        List<Node> nodes = new ArrayList<>(control);
        nodes.addAll(stores);
        nodes.addAll(fronts);
        return nodes;
    }

    /** Starts a process; only the very first start of the whole system says so in the settings. */
    synchronized void start(Node node, boolean firstStart) throws IOException {
        if (closed) {
            throw new IOException("the deployment is closed");
        }
        writeSettings(node, firstStart);
        ProcessBuilder builder = new ProcessBuilder(commands.get(node.role));
        Map<String, String> environment = builder.environment();
        Map<String, String> kept = new HashMap<>();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (environment.containsKey(name)) {
                kept.put(name, environment.get(name));
            }
        }
        environment.clear();
        environment.putAll(kept);
        environment.put("WOADVALE_BOOT", node.folder.resolve("node.yaml").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.folder.resolve("log").toFile()));
        node.process = builder.start();
        node.starts++;
        record.line("start " + node.name + " firstStart=" + firstStart);
    }

    void startAll() throws IOException {
        for (Node node : all()) {
            start(node, true);
        }
    }

    private void writeSettings(Node node, boolean firstStart) throws IOException {
        boolean front = node.role.equals("intake");
        boolean core = node.role.equals("control");
        StringBuilder yaml = new StringBuilder();
        String machineClass = front ? "front" : core ? "core" : "store";
        yaml.append("nodeName: \"").append(node.name).append("\"\n");
        yaml.append("role: \"").append(node.role).append("\"\n");
        yaml.append("machineClass: \"").append(machineClass).append("\"\n");
        yaml.append("serves:\n  - \"").append(front ? "front" : core ? "control" : "store").append("\"\n");
        yaml.append("ip: \"").append(node.ip).append("\"\n");
        yaml.append("zone: \"").append(node.zone).append("\"\nregion: \"region\"\n");
        yaml.append("zones:\n  zone-a: \"region\"\n  zone-b: \"region\"\n  zone-c: \"region\"\n");
        if (front) {
            yaml.append("bindAddresses:\n  front: \"").append(text(front(node))).append("\"\n  readiness: \"")
                    .append(text(readiness(node))).append("\"\n");
        } else if (core) {
            yaml.append("bindAddresses:\n  control: \"").append(text(controlAddress(node))).append("\"\n");
        } else {
            yaml.append("bindAddresses: {}\n");
        }
        yaml.append("internalPorts:\n  - ").append(firstPort).append("\n  - ").append(firstPort + 15).append("\n");
        yaml.append("seedNodes:\n");
        control.stream().limit(3).forEach(n -> yaml.append("  - \"").append(text(controlAddress(n))).append("\"\n"));
        yaml.append("firstStart: ").append(firstStart).append("\n");
        yaml.append("lossCounted: ").append(!front).append("\n");
        yaml.append("limits:\n  cpuShare: 0.75\n  cpuCores: 1\n  memoryMb: 430\n  fdLimit: 4100\n  linkMbps: 1000.0\n");
        yaml.append("  diskMb: ").append(front ? 0 : core ? 128 : 310).append("\n");
        if (front) {
            yaml.append("dataDir: null\n");
        } else {
            Files.createDirectories(data(node));
            yaml.append("dataDir: \"").append(data(node)).append("\"\n");
        }
        appendRules(yaml);
        Files.write(node.folder.resolve("node.yaml"), yaml.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** What is alike on all machines: losses that are tolerated, bounds, the platform's address. */
    private void appendRules(StringBuilder yaml) {
        yaml.append("discovery: \"platform\"\nentry: \"virtual_ip\"\nbeatIntervalMs: 1200\n");
        yaml.append("contracts: [\"base\", \"drain\", \"config\", \"cost\", \"ingest\", \"recover\", \"tenants\","
                + " \"quota\"]\n");
        yaml.append("lossTolerance:\n  machineLosses: ").append(machineLosses)
                .append("\n  zones: 0\n  regionLosses: 0\n");
        yaml.append("bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 4000\n  ackLimitMs: 5000\n  catchUpS: 4.2\n"
                + "  drainLimitMs: 3000\n  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n"
                + "  rollbackSlackMs: 250\n  outerBoundMs: 12000\n  revocationClosed: true\n  revokeLimitMs: 5000\n"
                + "  quotaWindowS: 5\n  quotaOverrun: 0.1\n  quotaSlack: 20\n  recoveryS: 12\n  completionS: 10\n"
                + "  statusTtlS: 120\n  callbackTtlS: 5\n  visibilityMs: 3000\n  earlySlackMs: 100\n"
                + "  ceilingWindowS: 5\n  ceilingOverrun: 1.1\n");
        yaml.append("platformApi:\n  address: \"").append(text(platform()))
                .append("\"\n  ratePerS: 44.0\n  duties: []\n  maxLagMs: 800\n");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static Path data(Node node) {
        return node.folder.resolve("data");
    }

    /** SIGKILL; returns once the process is gone. */
    void kill(Node node) throws InterruptedException {
        node.process.destroyForcibly();
        node.process.waitFor(10, TimeUnit.SECONDS);
        record.line("SIGKILL " + node.name);
    }

    /** SIGTERM; does not wait. */
    void terminate(Node node) {
        node.process.destroy();
        record.line("SIGTERM " + node.name);
    }

    void signal(Node node, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(node.process.pid())).start().waitFor();
        record.line("SIG" + name + " " + node.name);
    }

    /** The disk of a stopped machine is lost: it comes back empty. */
    void loseDisk(Node node) throws IOException {
        try (Stream<Path> files = Files.walk(data(node))) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
        record.line("disk lost " + node.name);
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (Node node : all()) {
            if (node.running()) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + root);
            return;
        }
        try (Stream<Path> files = Files.walk(root)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            System.err.println("the temporary folder was not removed: " + e);
        }
    }
}
