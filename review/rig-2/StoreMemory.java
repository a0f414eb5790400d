import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Eight tenants hand in small messages for later, each at the rate that its quota allows. Once, all
 * processes are killed and started again. After the recovery time, work must be taken again.
 */
final class StoreMemory {
    /** The sum of the quotas: the site file has 380 requests a second and quotas of 1.6 times what the tenants send. */
    private static final int RATE = 608;

    /** After the fault the tenants send less. */
    private static final int LATER_RATE = 100;

    private static final int BODY_BYTES = 100;
    private static final int DELAY_MS = 90_000;
    private static final int TENANTS = 8;
    private static final int CLIENT_THREADS = 64;
    /** The fault comes when this many are accepted, and not later than the time below. */
    private static final int KILL_AFTER = 46_500;

    private static final double KILL_BY = 88;
    /** With fewer than this the machine is too slow for the case. */
    private static final int LEAST_ACCEPTED = 44_000;

    private static final double DOWN_S = 1.3;
    /** The rule RECOVER counts the requests that are sent later than this after the machines are back. */
    private static final double RECOVERY_S = 12;

    private static final double AFTER_S = 30;

    private final Rig rig;
    private final boolean trouble;
    private final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicLong sentBefore = new AtomicLong();
    private final AtomicInteger lateSent = new AtomicInteger();
    private final AtomicInteger lateServed = new AtomicInteger();
    private final Map<String, Integer> ownEnds = new TreeMap<>();
    private volatile double backAt = Double.MAX_VALUE;
    private volatile double faultAt = KILL_BY;
    private volatile double endAt = KILL_BY + AFTER_S;
    private int acceptedBefore;
    private volatile boolean killing;

    private StoreMemory(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Rig rig = new Rig(args[0])) {
            try {
                result = new StoreMemory(rig, trouble).run();
            } catch (IllegalStateException | IOException e) {
                rig.note("the case could not run: " + e);
                result = 2;
            }
            rig.note("result " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    static String configuration() {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(i == 0 ? "" : ",").append("{\"name\":\"branch").append(i);
            tenants.append("\",\"accessKeys\":[\"key").append(i);
            tenants.append("\"],\"priority\":1,\"ratePerS\":76,\"burstSize\":76}");
        }
        return "{\"configRevision\":5,\"routes\":[{\"name\":\"r-seat\",\"host\":\"seat.example\","
                + "\"pathPrefix\":\"/seat/\",\"routeClass\":\"deferred\",\"timeoutMs\":1500,\"targetLatencyMs\":80,"
                + "\"priority\":2,\"service\":\"seatdesk\",\"maxAttempts\":3,\"inOrder\":false,\"retentionS\":90.0,"
                + "\"callbackUri\":false,\"startTargetMs\":500,\"keyless\":false}],\"services\":[{\"name\":\"seatdesk\","
                + "\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tlsMode\":false,"
                + "\"ratePerS\":0.0,\"selfDedup\":false,\"pullMode\":true,\"fixedEndpoint\":null}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}";
    }

    private int run() throws IOException, InterruptedException {
        rig.startFleet(4);
        rig.configure(0, configuration());
        rig.awaitReady(30_000);
        List<Thread> clients = load();
        Thread watch = new Thread(this::keepRunning);
        watch.setDaemon(true);
        watch.start();
        while (rig.seconds() < endAt) {
            Thread.sleep(250);
            int count = answers.getOrDefault(202, new AtomicInteger()).get();
            if (backAt == Double.MAX_VALUE && (count >= KILL_AFTER || rig.seconds() >= KILL_BY)) {
                acceptedBefore = count;
                faultAt = rig.seconds();
                endAt = faultAt + AFTER_S;
                if (trouble && count >= LEAST_ACCEPTED) {
                    killAll();
                }
                backAt = rig.seconds();
            }
            if ((int) (rig.seconds() * 4) % 40 == 0) {
                rig.note("answers " + answers + ", own ends of stores " + ownEnds);
            }
        }
        killing = true;
        for (Thread client : clients) {
            client.join(3000);
        }
        return judge();
    }

    private int judge() {
        rig.note("answers " + answers);
        rig.note("store processes that ended by themselves: " + ownEnds);
        rig.note("accepted before the fault: " + acceptedBefore + "; sent later than " + RECOVERY_S
                + " s after the machines were back: " + lateSent + ", served: " + lateServed);
        if (acceptedBefore < LEAST_ACCEPTED || lateSent.get() < 100) {
            throw new IllegalStateException("too little was sent or served: the machine is too slow");
        }
        return lateServed.get() * 4 < lateSent.get() ? 1 : 0;
    }

    private void killAll() throws IOException, InterruptedException {
        killing = true;
        rig.note("SIGKILL to all processes; answers " + answers);
        for (Rig.Machine machine : rig.machines) {
            machine.process.destroyForcibly();
        }
        for (Rig.Machine machine : rig.machines) {
            machine.process.waitFor();
        }
        Thread.sleep((long) (DOWN_S * 1000));
        for (Rig.Machine machine : rig.machines) {
            rig.start(machine, false);
        }
        killing = false;
        rig.note("all machines are started again");
    }

    /** Starts a process that has ended again, as the platform does, and counts the ends that nobody caused. */
    private void keepRunning() {
        try {
            while (true) {
                Thread.sleep(250);
                for (Rig.Machine store : rig.ofRole("store")) {
                    if (!killing && !store.alive()) {
                        int code = store.process.exitValue();
                        boolean memory = store.log().contains("java.lang.OutOfMemoryError");
                        rig.note(store.name + " ended by itself, exit code " + code
                                + (memory ? ", its log names an OutOfMemoryError" : ""));
                        if (rig.seconds() > faultAt + DOWN_S + 2 || !trouble) {
                            ownEnds.merge(store.name, 1, Integer::sum);
                        }
                        Thread.sleep(500);
                        rig.start(store, false);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<Thread> load() {
        long begin = System.nanoTime();
        AtomicLong sent = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_THREADS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(number, begin, sent));
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        return clients;
    }

    private void client(int number, long begin, AtomicLong sent) {
        Random random = new Random();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        try {
            while (rig.seconds() < endAt) {
                String address = rig.front(number);
                int colon = address.lastIndexOf(':');
                try (Socket socket = new Socket()) {
                    socket.connect(
                            new InetSocketAddress(
                                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                            2000);
                    socket.setSoTimeout(2000);
                    socket.setTcpNoDelay(true);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    while (rig.seconds() < endAt) {
                        long wait = due(begin, sent.incrementAndGet()) - System.nanoTime();
                        if (wait > 0) {
                            Thread.sleep(wait / 1_000_000L, (int) (wait % 1_000_000L));
                        }
                        submit(number, random, socket, in, body);
                    }
                } catch (IOException e) {
                    count(0, false);
                    Thread.sleep(50);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long due(long begin, long count) {
        double beginS = rig.seconds() - (System.nanoTime() - begin) / 1e9;
        if (backAt == Double.MAX_VALUE) {
            sentBefore.set(count);
            return begin + (long) ((double) count / RATE * 1e9);
        }
        long later = Math.max(0, count - sentBefore.get());
        return begin + (long) ((backAt - beginS + (double) later / LATER_RATE) * 1e9);
    }

    private void submit(int number, Random random, Socket socket, InputStream in, byte[] body) throws IOException {
        boolean late = rig.seconds() > backAt + RECOVERY_S;
        if (late) {
            lateSent.incrementAndGet();
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "seat.example");
        headers.put("Authorization", "Token key" + number % TENANTS);
        headers.put("X-Attempt-Id", String.format("%016x", random.nextLong()));
        headers.put("X-Delay-Ms", Integer.toString(DELAY_MS));
        headers.put("X-Deadline-Ms", "1200");
        socket.getOutputStream().write(Rig.head("POST /seat/hold HTTP/1.1", "", headers, body.length));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
        count(Rig.readAnswer(in).status(), late);
    }

    private void count(int status, boolean late) {
        answers.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
        if (late && status == 202) {
            lateServed.incrementAndGet();
        }
    }
}
