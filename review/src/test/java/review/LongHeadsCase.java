package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** All processors of a service are down for a while, and the messages that wait meanwhile have long targets. */
final class LongHeadsCase extends Case {
    private static final int PER_SECOND = 380;
    private static final double TRAFFIC_S = 13;
    private static final double DOWN_AT_S = 2;
    private static final double DOWN_S = 8.5;
    /** With the other headers under maxHeaderBytes, 16384. */
    private static final int TARGET_CHARACTERS = 15_000;
    private static final int BODY_BYTES = 600;
    private static final int ASKED_AFTER = 300;
    private static final double ASK_UNTIL_S = 85;
    private static final String KEY = "wa5xwyhks8nbkxxmibw6";
    private static final String SERVICE = "wuno96b";

    private final Map<String, String> referenceById = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> answers = new ConcurrentSkipListMap<>();
    private final List<Processor> processors = new ArrayList<>();
    private int endedByThemselves;

    public static void main(String[] args) {
        new LongHeadsCase().main(Path.of(args[0]), 3, 3, 3, 1);
    }

    @Override
    int run() throws Exception {
        for (int i = 0; i < 3; i++) {
            Processor processor = new Processor(record, "processor-" + i, deployment.standInIp());
            processors.add(processor);
            operator.list("i-first-" + i, SERVICE, processor.address(), "zone-" + "abc".charAt(i), 18);
        }
        String configuration = Operator.configuration(
                1,
                List.of(Operator.route("r-a", "/a/", SERVICE, 500, 4, false)),
                List.of(Operator.service(SERVICE, true, false, "")),
                List.of(Operator.tenant("deba380", KEY, 1000)));
        if (!begin(configuration)) {
            return NOT_RUN;
        }
        Thread.sleep(2000);
        Thread outage = new Thread(this::outage);
        if (trouble) {
            outage.start();
        }
        traffic();
        outage.join();
        // recoveryS 12 after the processors are back, and 4 s more
        for (int i = 0; i < 32; i++) {
            Thread.sleep(500);
            startEnded();
        }
        return judge();
    }

    private void outage() {
        try {
            Thread.sleep((long) (DOWN_AT_S * 1000));
            for (Processor processor : processors) {
                processor.crash();
            }
            Thread.sleep(3000);
            for (int i = 0; i < processors.size(); i++) {
                operator.unlist("i-first-" + i);
            }
            Thread.sleep((long) (DOWN_S * 1000) - 3000);
            for (int i = 0; i < processors.size(); i++) {
                processors.get(i).start();
                operator.list("i-second-" + i, SERVICE, processors.get(i).address(), "zone-" + "abc".charAt(i), 18);
            }
        } catch (Exception e) {
            record.line("the outage failed: " + e);
        }
    }

    private void traffic() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(100);
        String padding = "x".repeat(TARGET_CHARACTERS);
        long begun = System.nanoTime();
        int total = (int) (PER_SECOND * TRAFFIC_S);
        for (int i = 0; i < total; i++) {
            long wait = begun + (long) (i * 1e9 / PER_SECOND) - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            int number = i;
            clients.submit(() -> submit(number, padding));
            if (i % 200 == 0) {
                startEnded();
                record.line("sent " + i + ", answers by status " + answers);
            }
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        record.line("sent " + total + ", answers by status " + answers);
    }

    private void submit(int number, String padding) {
        String id = "message-" + number;
        byte[] body = body(id);
        Http.Answer answer = Http.send(
                deployment.front(deployment.fronts.get(number % deployment.fronts.size())),
                "POST",
                "/a/" + number + "/" + padding,
                Map.of(
                        "Host", "lode17.example",
                        "Authorization", "Token " + KEY,
                        "X-Attempt-Id", id,
                        "X-Deadline-Ms", "1200"),
                body,
                5000);
        answers.merge(answer.status(), 1, Integer::sum);
        record.line("POST " + id + " -> " + answer.status() + " ref " + answer.header("X-Message-Ref"));
        if (answer.status() == 202) {
            referenceById.put(id, answer.header("X-Message-Ref"));
        }
    }

    private static byte[] body(String id) {
        return Arrays.copyOf(id.getBytes(StandardCharsets.UTF_8), BODY_BYTES);
    }

    /** The platform starts again what has ended. */
    private void startEnded() throws Exception {
        for (Deployment.Node node : deployment.all()) {
            if (!node.running()) {
                record.line(node.name + " ended by itself with " + node.process.exitValue());
                endedByThemselves++;
                deployment.start(node, false);
            }
        }
    }

    private int judge() throws Exception {
        List<String> notDone = new ArrayList<>();
        referenceById.keySet().stream()
                .filter(id -> processors.stream().noneMatch(processor -> processor.succeeded.contains(id)))
                .forEach(notDone::add);
        Collections.sort(notDone);
        Collections.shuffle(notDone, new Random(1));
        record.line("accepted " + referenceById.size() + ", without a success at a processor " + notDone.size());
        Client client = new Client(deployment, record, KEY);
        int asked = 0;
        int lost = 0;
        for (String id : notDone.subList(0, Math.min(ASKED_AFTER, notDone.size()))) {
            if (record.seconds() > ASK_UNTIL_S) {
                break;
            }
            asked++;
            Http.Answer state = client.ask("message", referenceById.get(id), lost > 2 ? 1 : 6);
            boolean completed = state.text().contains("\"completed\"");
            Http.Answer bytes = completed ? state : client.ask("message-body", referenceById.get(id), lost > 2 ? 1 : 6);
            boolean kept = bytes.status() == 200 && Arrays.equals(bytes.body(), body(id));
            if (!completed && !kept) {
                lost++;
                record.line("LOST " + id);
            }
        }
        startEnded();
        record.line("asked after " + asked + ", body not returned " + lost + ", processes that ended by themselves "
                + endedByThemselves);
        return lost == 0 ? HELD : BROKEN;
    }
}
