import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One core machine is gone for good during the first start, and an empty one comes at another address. The operator
 * sends the first configuration until it is taken. One machine may be lost, so it must be taken.
 */
final class FirstStart {
    private static final double GONE_AT = 0.6;
    private static final double REPLACED_AFTER = 2;
    private static final double ASKED_FOR = 60;
    private static final int ASK_TIMEOUT_MS = 1500;
    private static final int TRIES = 20;

    private final Rig rig;
    private final boolean trouble;

    private FirstStart(Rig rig, boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Rig rig = new Rig(args[0])) {
            try {
                result = new FirstStart(rig, trouble).run();
            } catch (IllegalStateException | IOException e) {
                rig.note("the case could not run: " + e);
                result = 2;
            }
            rig.note("result " + result);
        }
        Runtime.getRuntime().halt(result);
    }

    private int run() throws IOException, InterruptedException {
        rig.startFleet(2);
        double started = rig.seconds();
        List<Rig.Machine> serving = new ArrayList<>(rig.ofRole("control"));
        if (trouble) {
            Rig.Machine gone = serving.remove(0);
            sleepUntil(started + GONE_AT);
            gone.process.destroyForcibly().waitFor();
            rig.note(String.format(
                    Locale.ROOT,
                    "%s is gone for good %.2f s after its start; it has logged %d lines",
                    gone.name,
                    rig.seconds() - started,
                    gone.log().lines().count()));
            try (var files = Files.walk(gone.folder.resolve("data"))) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
            sleepUntil(started + GONE_AT + REPLACED_AFTER);
            Rig.Machine fresh = rig.machine("control", 3);
            rig.start(fresh, false);
            rig.note(fresh.name + " comes in its place, empty, at another address");
            serving.add(fresh);
        }
        return ask(serving) ? serve() : 1;
    }

    private void sleepUntil(double time) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((time - rig.seconds()) * 1000)));
    }

    private boolean ask(List<Rig.Machine> serving) throws InterruptedException {
        byte[] body = StoreMemory.configuration().getBytes(StandardCharsets.UTF_8);
        double until = rig.seconds() + ASKED_FOR;
        for (int i = 0; rig.seconds() < until; i++) {
            Rig.Machine control = serving.get(i % serving.size());
            Rig.Answer answer = Rig.call(
                    control.ip + ":" + Rig.CONTROL_PORT,
                    "PUT",
                    "/-/configuration",
                    Map.of("If-Match", "0", "Content-Type", "application/json"),
                    body,
                    ASK_TIMEOUT_MS);
            rig.quiet("first configuration to " + control.name + ": " + answer.status() + " " + answer.error());
            if (answer.status() == 200) {
                rig.note("the first configuration is acknowledged by " + control.name);
                return true;
            }
            Thread.sleep(400);
        }
        long living = serving.stream().filter(Rig.Machine::alive).count();
        rig.note("the first configuration was not taken in " + ASKED_FOR + " s; " + living + " of " + serving.size()
                + " core processes run, and none was disturbed in that time");
        return false;
    }

    private int serve() throws InterruptedException {
        try {
            rig.awaitReady(30_000);
        } catch (IllegalStateException e) {
            rig.note(e.getMessage());
            return 1;
        }
        for (int i = 0; i < TRIES; i++) {
            Rig.Answer answer = Rig.call(
                    rig.front(i),
                    "POST",
                    "/seat/hold",
                    Map.of(
                            "Host", "seat.example",
                            "Authorization", "Token key1",
                            "X-Attempt-Id", String.format(Locale.ROOT, "9c41d07be2a3%04x", i),
                            "X-Deadline-Ms", "1200"),
                    new byte[600],
                    2500);
            rig.note("a message is answered with " + answer.status());
            if (answer.status() == 202) {
                return 0;
            }
            Thread.sleep(500);
        }
        return 1;
    }
}
