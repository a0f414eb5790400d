package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Operators change a large configuration at once, on top of the same version. */
final class ConfigurationRaceCase extends Case {
    private static final int KEYS = 9900;
    private static final int AT_ONCE = 8;
    private static final double CHANGES_S = 80;
    private static final double LONGEST_ORDER_S = 5;
    private static final int ENDS_IN_A_DAY = 3;

    private final Map<String, Integer> endsByNode = new TreeMap<>();
    private volatile boolean over;

    public static void main(String[] args) {
        new ConfigurationRaceCase().main(Path.of(args[0]), 3, 3, 3, 1);
    }

    /** Valid, and each one another: the keys of its one tenant begin at another number. */
    private static String configuration(long revision, long firstKey) {
        StringBuilder keys = new StringBuilder();
        for (int i = 0; i < KEYS; i++) {
            keys.append(i == 0 ? "\"" : ",\"").append(String.format("k%018d", firstKey + i)).append('"');
        }
        return Operator.configuration(
                revision,
                List.of(Operator.route("r-a", "/a/", "huvo11a", 1500, 3, false)),
                List.of(Operator.service("huvo11a", false, true, "")),
                List.of("{\"name\":\"deba380\",\"accessKeys\":[" + keys
                        + "],\"priority\":1,\"ratePerS\":105,\"burstSize\":105}"));
    }

    @Override
    int run() throws Exception {
        String first = configuration(1, 0);
        record.line("each configuration has " + first.length() + " bytes");
        if (!begin(first)) {
            return NOT_RUN;
        }
        Thread watch = new Thread(this::startEnded);
        watch.setDaemon(true);
        watch.start();
        long version = 1;
        double until = record.seconds() + CHANGES_S;
        for (int round = 1; record.seconds() < until; round++) {
            version = round(version, round);
            Thread.sleep(trouble ? 100 : 3000);
        }
        over = true;
        watch.join(5000);
        record.line("newest version that was acknowledged " + version + "; ends by themselves " + endsByNode);
        long machines = endsByNode.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("core"))
                .filter(entry -> entry.getValue() >= ENDS_IN_A_DAY)
                .count();
        return machines * 2 > deployment.control.size() ? BROKEN : HELD;
    }

    /** One order, or several on the same base at once, of which one at most is taken; the newest version known. */
    private long round(long version, int round) throws Exception {
        int orders = trouble ? AT_ONCE : 1;
        ExecutorService operators = Executors.newFixedThreadPool(orders);
        List<Future<Long>> results = new ArrayList<>();
        for (int i = 0; i < orders; i++) {
            long revision = version + 1 + i;
            long firstKey = 1000L * round + i;
            results.add(operators.submit(() ->
                    operator.put(configuration(revision, firstKey), version, LONGEST_ORDER_S) ? revision : version));
        }
        long newest = version;
        for (Future<Long> result : results) {
            newest = Math.max(newest, result.get());
        }
        operators.shutdown();
        record.line("round " + round + " on version " + version + ", now " + newest);
        return newest;
    }

    /** The platform starts a process again that has ended. */
    private void startEnded() {
        try {
            while (!over) {
                for (Deployment.Node node : deployment.all()) {
                    if (!node.running()) {
                        record.line(node.name + " ended by itself with " + node.process.exitValue());
                        endsByNode.merge(node.name, 1, Integer::sum);
                        Thread.sleep(300);
                        deployment.start(node, false);
                    }
                }
                Thread.sleep(100);
            }
        } catch (Exception e) {
            record.line("the watch ended: " + e);
        }
    }
}
