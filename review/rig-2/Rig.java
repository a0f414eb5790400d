import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses for the cases of this review: it starts the programs with the commands of
 * the deploy file, writes a settings file for each of them, and has stand-ins for the platform's list, the operator,
 * clients and processors that follow the users' pages. Each machine has a loopback address of its own.
 */
final class Rig implements AutoCloseable {
    static final int FRONT_PORT = 8749;
    static final int READY_PORT = 8747;
    static final int CONTROL_PORT = 8741;
    static final int PLATFORM_PORT = 8743;
    static final String[] ZONES = {"col-a", "col-b", "neg-c"};

    /** One answer; status 0 means that there was none that is complete. */
    record Answer(int status, Map<String, String> headers, byte[] body, String error) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One request as a stand-in received it. */
    record Received(String method, String path, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** A process of the project on a machine of its own. */
    static final class Machine {
        final String name;
        final String role;
        final String ip;
        final String zone;
        final Path folder;
        Process process;

        Machine(String name, String role, String ip, String zone, Path folder) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
            this.folder = folder;
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        String log() throws IOException {
            Path log = folder.resolve("log");
            return Files.exists(log) ? Files.readString(log, StandardCharsets.ISO_8859_1) : "";
        }
    }

    final Path root;
    final Path temp;
    final String net;
    final long start = System.nanoTime();
    final List<Machine> machines = new ArrayList<>();
    final List<ServerSocket> servers = new ArrayList<>();
    final Map<String, List<String>> commands = new TreeMap<>();
    private final StringBuilder record = new StringBuilder();
    private final Path recordFile;
    private int nextHost = 1;
    /** The entries of the platform's list, as JSON objects by instance. */
    final Map<String, String> listed = new ConcurrentHashMap<>();
    String platformIp;

    Rig(String caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        recordFile = root.resolve(caseFolder).resolve("record.txt");
        temp = Files.createTempDirectory("woadvale-case");
        net = freeNet();
        readCommands();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void note(String line) {
        String stamped = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
        record.append(stamped).append('\n');
        System.out.println(stamped);
    }

    /** A note for the record only. */
    synchronized void quiet(String line) {
        record.append(String.format(Locale.ROOT, "%8.3f %s", seconds(), line)).append('\n');
    }

    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 100; i++) {
            String candidate = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
            try (ServerSocket a = new ServerSocket();
                    ServerSocket b = new ServerSocket()) {
                a.bind(new InetSocketAddress(candidate + ".1", CONTROL_PORT));
                b.bind(new InetSocketAddress(candidate + ".1", 7100));
                return candidate;
            } catch (IOException e) {
                // in use; another one is tried
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private void readCommands() throws IOException {
        Matcher roles = Pattern.compile("\\[roles\\.([a-z]+)\\]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        while (roles.find()) {
            commands.put(roles.group(1), List.of(roles.group(2).split(" +")));
        }
        if (commands.size() != 3) {
            throw new IOException("the deploy file has other roles than expected: " + commands.keySet());
        }
    }

    String newIp() {
        return net + "." + nextHost++;
    }

    Machine machine(String role, int number) {
        String zone = ZONES[number % ZONES.length];
        String name = role + "-" + zone + "-" + number;
        Machine machine = new Machine(name, role, newIp(), zone, temp.resolve(name));
        machines.add(machine);
        return machine;
    }

    List<Machine> ofRole(String role) {
        return machines.stream().filter(m -> m.role.equals(role)).toList();
    }

    /** Three control machines, three stores and the given number of fronts, as on the users' small sites. */
    void startFleet(int fronts) throws IOException {
        platformIp = newIp();
        serve(platformIp, PLATFORM_PORT, this::platformList);
        for (int i = 0; i < 3; i++) {
            machine("control", i);
        }
        for (int i = 0; i < 3; i++) {
            machine("store", i);
        }
        for (int i = 0; i < fronts; i++) {
            machine("intake", i);
        }
        for (Machine machine : machines) {
            start(machine, true);
        }
    }

    void start(Machine machine, boolean firstStart) throws IOException {
        Files.createDirectories(machine.folder);
        boolean disk = !machine.role.equals("intake");
        Path data = machine.folder.resolve("data");
        if (disk) {
            Files.createDirectories(data);
        }
        StringBuilder yaml = new StringBuilder();
        yaml.append("nodeName: \"").append(machine.name).append("\"\nrole: \"").append(machine.role);
        String kind = machine.role.equals("intake") ? "front" : machine.role.equals("control") ? "core" : "store";
        yaml.append("\"\nmachineClass: \"").append(kind).append("\"\nserves:\n  - \"");
        yaml.append(kind.equals("core") ? "control" : kind).append("\"\nip: \"").append(machine.ip);
        yaml.append("\"\nzone: \"").append(machine.zone).append("\"\nregion: \"lk-west\"\nzones:\n");
        for (String zone : ZONES) {
            yaml.append("  ").append(zone).append(": \"lk-west\"\n");
        }
        yaml.append("bindAddresses:\n");
        if (kind.equals("front")) {
            yaml.append("  front: \"").append(machine.ip).append(":").append(FRONT_PORT).append("\"\n");
        }
        if (kind.equals("core")) {
            yaml.append("  control: \"").append(machine.ip).append(":").append(CONTROL_PORT).append("\"\n");
        }
        yaml.append("  readiness: \"").append(machine.ip).append(":").append(READY_PORT).append("\"\n");
        yaml.append("internalPorts:\n  - 7100\n  - 7115\nseedNodes:\n");
        for (Machine control : ofRole("control").subList(0, 3)) {
            yaml.append("  - \"").append(control.ip).append(":").append(CONTROL_PORT).append("\"\n");
        }
        yaml.append("firstStart: ").append(firstStart).append("\nlossCounted: ").append(disk);
        yaml.append("\nlimits:\n  cpuShare: 0.75\n  cpuCores: 1\n  memoryMb: 430\n  fdLimit: 4100\n");
        yaml.append("  linkMbps: 1000.0\n  diskMb: ").append(kind.equals("store") ? 310 : kind.equals("core") ? 128 : 0);
        yaml.append("\ndataDir: ").append(disk ? "\"" + data + "\"" : "null");
        yaml.append("\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nbeatIntervalMs: 1200\n");
        yaml.append("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n");
        yaml.append("  - \"ingest\"\n  - \"tenants\"\n  - \"quota\"\n");
        yaml.append("lossTolerance:\n  machineLosses: 1\n  zones: 0\n  regionLosses: 0\n");
        yaml.append("bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 4000\n  ackLimitMs: 5000\n");
        yaml.append("  catchUpS: 4.2\n  drainLimitMs: 3000\n  gracePeriodS: 6\n  lossSlackMs: 200\n");
        yaml.append("  configApplyMs: 3000\n  rollbackSlackMs: 250\n  outerBoundMs: 12000\n");
        yaml.append("  revocationClosed: true\n  revokeLimitMs: 5000\n  quotaWindowS: 5\n  quotaOverrun: 0.1\n");
        yaml.append("  quotaSlack: 20\n  recoveryS: 12\n  completionS: 10\n  statusTtlS: 120\n  callbackTtlS: 5\n");
        yaml.append("  visibilityMs: 3000\n  earlySlackMs: 100\n  ceilingWindowS: 5\n  ceilingOverrun: 1.1\n");
        yaml.append("platformApi:\n  address: \"").append(platformIp).append(":").append(PLATFORM_PORT);
        yaml.append("\"\n  ratePerS: 44.0\n  duties: []\n  maxLagMs: 800\n");
        Path settings = machine.folder.resolve("node.yaml");
        Files.writeString(settings, yaml);
        ProcessBuilder builder = new ProcessBuilder(commands.get(machine.role))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        machine.folder.resolve("log").toFile()));
        Map<String, String> inherited = new LinkedHashMap<>(System.getenv());
        builder.environment().clear();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(variable)) {
                builder.environment().put(variable, inherited.get(variable));
            }
        }
        builder.environment().put("WOADVALE_BOOT", settings.toString());
        machine.process = builder.start();
        quiet("started " + machine.name + " at " + machine.ip);
    }

    private Answer platformList(Received request) {
        String body = "{\"instances\":[" + String.join(",", listed.values()) + "],\"nextToken\":null}";
        return json(200, body);
    }

    void list(String id, String service, String address, int zone, int slots, String state) {
        listed.put(
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + ZONES[zone % 3]
                        + "\",\"configRevision\":\"v1\",\"callSlots\":" + slots + ",\"state\":\"" + state
                        + "\",\"coldLeftMs\":0,\"instanceId\":\"" + id + "\"}");
    }

    static Answer json(int status, String body) {
        return new Answer(
                status, Map.of("content-type", "application/json"), body.getBytes(StandardCharsets.UTF_8), "");
    }

    /** Sends a configuration until it is acknowledged, each try to the next control machine. */
    void configure(long base, String body) throws InterruptedException {
        for (int i = 0; i < 120; i++) {
            Machine control = ofRole("control").get(i % 3);
            Answer answer = call(
                    control.ip + ":" + CONTROL_PORT,
                    "PUT",
                    "/-/configuration",
                    Map.of("If-Match", Long.toString(base), "Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8),
                    1500);
            if (answer.status() == 200) {
                note("configuration acknowledged by " + control.name + ": " + answer.text());
                return;
            }
            if (answer.status() >= 400 && answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
                throw new IllegalStateException("configuration refused: " + answer.status() + " " + answer.text());
            }
            Thread.sleep(250);
        }
        throw new IllegalStateException("no configuration was acknowledged");
    }

    void awaitReady(int limitMs) throws InterruptedException {
        long until = System.nanoTime() + limitMs * 1_000_000L;
        while (System.nanoTime() < until) {
            boolean all = ofRole("intake").stream().allMatch(m -> ready(m));
            if (all) {
                note("all fronts are ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the fronts were not ready in time");
    }

    boolean ready(Machine machine) {
        return call(machine.ip + ":" + READY_PORT, "GET", "/-/readiness", Map.of(), new byte[0], 1000).status() == 200;
    }

    String front(int number) {
        List<Machine> fronts = ofRole("intake");
        return fronts.get(Math.floorMod(number, fronts.size())).ip + ":" + FRONT_PORT;
    }

    // HTTP

    /** One call on a new connection. */
    static Answer call(
            String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            int colon = address.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(timeoutMs, 2000));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write(head(method + " " + path + " HTTP/1.1", address, headers, body.length));
            out.write(body);
            out.flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    static byte[] head(String first, String host, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        if (!headers.containsKey("Host")) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(length).append("\r\n\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static Answer readAnswer(InputStream in) throws IOException {
        String first = line(in).orElseThrow(EOFException::new);
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = headers(in);
        byte[] body = body(in, headers, status == 204 || status == 304);
        return new Answer(status, headers, body, "");
    }

    static Optional<String> line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return Optional.empty();
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return Optional.of(out.toString(StandardCharsets.ISO_8859_1));
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in).orElseThrow(EOFException::new);
                !line.isEmpty();
                line = line(in).orElseThrow(EOFException::new)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] body(InputStream in, Map<String, String> headers, boolean none) throws IOException {
        if (none) {
            return new byte[0];
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).orElseThrow(EOFException::new).trim(), 16);
                out.write(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    return out.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the answer ended early");
        }
        return body;
    }

    /** Handles the requests of one connection, one after the other, with all freedom over its bytes. */
    interface ConnectionHandler {
        void handle(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    ServerSocket listen(String ip, int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 200, InetAddress.getByName(ip));
        servers.add(server);
        Thread acceptor = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Thread thread = new Thread(() -> {
                        try (socket) {
                            handler.handle(
                                    socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                        } catch (IOException e) {
                            // the caller has gone
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }

    static Optional<Received> readRequest(InputStream in) throws IOException {
        Optional<String> first = line(in);
        if (first.isEmpty()) {
            return Optional.empty();
        }
        String[] words = first.get().split(" ");
        Map<String, String> headers = headers(in);
        return Optional.of(new Received(words[0], words[1], headers, body(in, headers, false)));
    }

    static void writeAnswer(OutputStream out, Answer answer) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " X\r\n");
        answer.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (answer.status() != 204) {
            head.append("Content-Length: ").append(answer.body().length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(answer.body());
        out.write(all.toByteArray());
        out.flush();
    }

    ServerSocket serve(String ip, int port, Function<Received, Answer> handler) throws IOException {
        return listen(ip, port, (socket, in, out) -> {
            for (Optional<Received> request = readRequest(in); request.isPresent(); request = readRequest(in)) {
                writeAnswer(out, handler.apply(request.get()));
            }
        });
    }

    /** Ends all processes, writes the record and removes the temporary folder. */
    @Override
    public synchronized void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : machines) {
            try {
                if (machine.process != null) {
                    machine.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (ServerSocket server : servers) {
            try {
                server.close();
            } catch (IOException e) {
                // it is closed
            }
        }
        try {
            Files.writeString(recordFile, record);
            if (System.getenv("KEEP") == null && Files.exists(temp)) {
                try (var walk = Files.walk(temp)) {
                    for (Path path : walk.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(path);
                    }
                }
            }
        } catch (IOException e) {
            System.out.println("The record was not written: " + e.getMessage());
        }
    }
}
