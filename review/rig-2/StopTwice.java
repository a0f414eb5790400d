import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Messages for processors that work for almost the whole time-out of the route, while the store machines are stopped with SIGTERM and
 * started again, one after the other. No message may run again after a success that its sender has read.
 */
final class StopTwice {
    private static final int TIMEOUT_MS = 2000;
    private static final int LONGEST_WORK_MS = 1940;
    private static final int SHORTEST_WORK_MS = 1400;
    private static final int PROCESSORS = 5;
    private static final int SLOTS = 40;
    private static final int RATE = 50;
    private static final int PROCESSOR_PORT = 9000;
    private static final double GRACE_PERIOD_S = 6;
    /** The rule TWICE counts a success whose answer was complete this long before the route's timeout. */
    private static final double MARGIN_S = 0.05;
    /** An answer counts as read if its connection was still open this long after its last byte. */
    private static final int READ_MS = 100;

    private static final double LOAD_FROM = 12;
    private static final double FIRST_STOP = 18;
    private static final double LOAD_UNTIL = 60;
    private static final double END_AT = 70;

    private static final class Run {
        final double begin;
        final String processor;
        double answered;
        String seal = "";
        boolean read;

        Run(double begin, String processor) {
            this.begin = begin;
            this.processor = processor;
        }
    }

    private final Rig rig;
    private final boolean trouble;
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final AtomicInteger seals = new AtomicInteger();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger otherAnswers = new AtomicInteger();
    private final Map<String, Integer> workMs = new ConcurrentHashMap<>();

    private StopTwice(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Rig rig = new Rig(args[0])) {
            try {
                result = new StopTwice(rig, trouble).run();
            } catch (IllegalStateException | IOException e) {
                rig.note("the case could not run: " + e);
                result = 2;
            }
            rig.note("result " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    private static String configuration() {
        return "{\"configRevision\":5,\"routes\":[{\"name\":\"r-doc\",\"host\":\"doc.example\","
                + "\"pathPrefix\":\"/doc/\",\"routeClass\":\"deferred\",\"timeoutMs\":" + TIMEOUT_MS
                + ",\"targetLatencyMs\":80,\"priority\":2,\"service\":\"docverify\",\"maxAttempts\":4,"
                + "\"inOrder\":false,\"retentionS\":90.0,\"callbackUri\":false,\"startTargetMs\":800,"
                + "\"keyless\":false}],\"services\":[{\"name\":\"docverify\",\"healthPath\":\"/health\","
                + "\"maxConnections\":110,\"protocol\":\"h1\",\"tlsMode\":false,\"ratePerS\":0.0,"
                + "\"selfDedup\":false,\"pullMode\":false,\"fixedEndpoint\":null}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"branch1\",\"accessKeys\":[\"key1\"],"
                + "\"priority\":1,\"ratePerS\":105,\"burstSize\":105}]}";
    }

    private int run() throws IOException, InterruptedException {
        rig.startFleet(2);
        for (int i = 0; i < PROCESSORS; i++) {
            startProcessor(i);
        }
        rig.configure(0, configuration());
        rig.awaitReady(30_000);
        Thread load = new Thread(this::load);
        load.setDaemon(true);
        load.start();
        while (rig.seconds() < FIRST_STOP) {
            Thread.sleep(50);
        }
        if (trouble) {
            for (Rig.Machine store : rig.ofRole("store")) {
                restart(store);
            }
        }
        while (rig.seconds() < END_AT) {
            Thread.sleep(100);
        }
        return judge();
    }

    private void restart(Rig.Machine store) throws IOException, InterruptedException {
        double begin = rig.seconds();
        rig.note("SIGTERM to " + store.name);
        store.process.destroy();
        if (!store.process.waitFor((long) (GRACE_PERIOD_S * 1000), TimeUnit.MILLISECONDS)) {
            store.process.destroyForcibly().waitFor();
            rig.note(store.name + " was killed after the grace period");
        }
        rig.note(String.format(
                Locale.ROOT, "%s ended %.2f s after SIGTERM", store.name, rig.seconds() - begin));
        Thread.sleep(1000);
        rig.start(store, false);
        Thread.sleep(9000);
    }

    private void startProcessor(int number) throws IOException {
        String ip = rig.newIp();
        String id = "i-" + number + "7f3a91c";
        rig.listen(ip, PROCESSOR_PORT, (socket, in, out) -> {
            for (Optional<Rig.Received> next = Rig.readRequest(in); next.isPresent(); next = Rig.readRequest(in)) {
                Rig.Received request = next.get();
                if (request.path().startsWith("/health")) {
                    Rig.writeAnswer(out, Rig.json(200, "{}"));
                    continue;
                }
                String attempt = request.header("x-attempt-id");
                Run run = new Run(rig.seconds(), id);
                runs.computeIfAbsent(attempt, key -> Collections.synchronizedList(new ArrayList<>())).add(run);
                int work = workMs.getOrDefault(attempt, SHORTEST_WORK_MS);
                int deadline = Integer.parseInt(request.header("x-deadline-ms"));
                Thread.sleep(Math.min(work, deadline));
                Map<String, String> headers = new HashMap<>(Map.of("X-Attempt-Id", attempt));
                if (work >= deadline) {
                    Rig.writeAnswer(out, new Rig.Answer(504, headers, new byte[0], ""));
                    continue;
                }
                headers.put("X-Server-Seal", "3e1b." + seals.incrementAndGet() + ".5a2.600.0.c9f2a4d1");
                Rig.writeAnswer(out, new Rig.Answer(200, headers, new byte[] {'o', 'k'}, ""));
                run.answered = rig.seconds();
                run.seal = headers.get("X-Server-Seal");
                socket.setSoTimeout(READ_MS);
                in.mark(1);
                try {
                    if (in.read() < 0) {
                        return;
                    }
                } catch (SocketTimeoutException e) {
                    // the connection is open and idle
                }
                run.read = true;
                in.reset();
                socket.setSoTimeout(0);
            }
        });
        rig.list(id, "docverify", ip + ":" + PROCESSOR_PORT, number, SLOTS, "ready");
    }

    private void load() {
        ExecutorService clients = Executors.newFixedThreadPool(16, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Random random = new Random(7);
        try {
            while (rig.seconds() < LOAD_FROM) {
                Thread.sleep(20);
            }
            for (int i = 0; rig.seconds() < LOAD_UNTIL; i++) {
                double due = LOAD_FROM + (double) i / RATE;
                Thread.sleep(Math.max(0, (long) ((due - rig.seconds()) * 1000)));
                int number = i;
                String id = String.format("%016x", random.nextLong());
                workMs.put(id, SHORTEST_WORK_MS + random.nextInt(LONGEST_WORK_MS - SHORTEST_WORK_MS));
                clients.submit(() -> submit(number, id));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(int number, String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "doc.example");
        headers.put("Authorization", "Token key1");
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "1200");
        int status = Rig.call(rig.front(number), "POST", "/doc/check", headers, new byte[600], 2500)
                .status();
        rig.quiet("sent " + id + ", answer " + status);
        (status == 202 ? accepted : otherAnswers).incrementAndGet();
    }

    private int judge() {
        int again = 0;
        int twice = 0;
        for (Map.Entry<String, List<Run>> message : runs.entrySet()) {
            List<Run> all = new ArrayList<>(message.getValue());
            all.forEach(run -> rig.quiet(String.format(
                    Locale.ROOT,
                    "ran %s at %s from %.3f to %.3f, seal '%s', read %s",
                    message.getKey(),
                    run.processor,
                    run.begin,
                    run.answered,
                    run.seal,
                    run.read)));
            again += all.size() > 1 ? 1 : 0;
            for (int i = 0; i + 1 < all.size(); i++) {
                Run first = all.get(i);
                Run next = all.get(i + 1);
                boolean inTime = first.answered - first.begin <= TIMEOUT_MS / 1000.0 - MARGIN_S;
                if (!first.seal.isEmpty() && first.read && inTime && next.begin > first.answered) {
                    twice++;
                    rig.note(String.format(
                            Locale.ROOT,
                            "TWICE %s: a success from %.3f to %.3f was read, and it ran again at %.3f",
                            message.getKey(),
                            first.begin,
                            first.answered,
                            next.begin));
                }
            }
        }
        rig.note("accepted " + accepted + ", other answers " + otherAnswers + ", messages run " + runs.size()
                + ", run more than once " + again + ", again after a success that was read " + twice);
        if (runs.size() < accepted.get() / 2) {
            throw new IllegalStateException("too few messages ran");
        }
        return twice > 0 ? 1 : 0;
    }
}
