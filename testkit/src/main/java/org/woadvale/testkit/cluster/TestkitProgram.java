package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.woadvale.client.ApiException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.capacity.CapacityCommand;
import org.woadvale.testkit.explore.ExploreCommand;
import org.woadvale.testkit.simulation.SeededPlatformDays;
import org.woadvale.testkit.simulation.TraceCommand;
import org.woadvale.testkit.stub.NeverList;
import org.woadvale.testkit.stub.TestConfiguration;

/** Fleets of real processes on this machine, simulations and measurements, from one command. */
public final class TestkitProgram {
    private static final int TENANTS = 8;
    private static final long DEFAULT_TRACES = 3;
    private static final long DEFAULT_DAY_SECONDS = 40;

    private TestkitProgram() {}

    public static void main(String[] args) throws IOException, ServiceException {
        if (args.length == 0 || args[0].equals("--help")) {
            help();
            System.exit(args.length == 0 ? 2 : 0);
        }
        String[] rest = Arrays.copyOfRange(args, 1, args.length);
        System.exit(
                switch (args[0]) {
                    case "capacity" -> new CapacityCommand(System.out, System.err).run(rest);
                    case "platform" -> platformDays(rest) ? 0 : 1;
                    case "trace" ->
                        new TraceCommand(System.out).run(rest.length > 0 ? Long.parseLong(rest[0]) : DEFAULT_TRACES);
                    case "explore" -> new ExploreCommand(System.out).run(rest);
                    default -> fleet(args[0], rest) ? 0 : 1;
                });
    }

    private static void help() {
        System.out.println("smoke [SHAPE]                    starts a fleet, submits, checks, stops");
        System.out.println("load SHAPE SECONDS RATE          mixed traffic, then the checks and the counts");
        System.out.println("drill NAME [SHAPE]               traffic with a failure; NAME is one of " + Drills.names());
        System.out.println("up [SHAPE]                       starts a fleet with stand-ins and leaves it running");
        System.out.println(
                "capacity [--only MECHANISM] [--nodes 30,60,120,240] [--largest 960]  slopes for docs/CAPACITY.md");
        System.out.println("platform --seeds A..B [SECONDS]  simulated days behind the platform's interface");
        System.out.println("trace [SEEDS]                    digests of simulated days, to compare two builds");
        System.out.println("explore [--nodes 3] [--depth 60] [--deviations D] [--seconds S] [--seed N] "
                + "[--start empty|led] [--mutant NAME]  schedules of the replication engine");
        System.out.println("SHAPE is small, lankavidya or rotterdam.");
    }

    private static boolean platformDays(String[] args) {
        boolean seeds = args.length > 1 && args[0].equals("--seeds");
        long seconds = args.length > 2 ? Long.parseLong(args[2]) : DEFAULT_DAY_SECONDS;
        return seeds && SeededPlatformDays.sweep(args[1], Duration.ofSeconds(seconds));
    }

    /** Runs a command against a real fleet on this machine; true if nothing was found wrong. */
    private static boolean fleet(String command, String[] args) throws IOException, ServiceException {
        boolean drill = command.equals("drill");
        int shapeAt = drill ? 1 : 0;
        Shape shape = Shape.of(args.length > shapeAt ? args[shapeAt] : "small");
        Path root = Files.createTempDirectory("woadvale-fleet");
        System.out.println("Data and logs: " + root);
        TestConfiguration testConfiguration = new TestConfiguration(TENANTS, shape.endpoints, 45, 60, 26);
        try (Fleet fleet = new Fleet(shape, root);
                StubEnvironment environment = new StubEnvironment(fleet, shape, testConfiguration)) {
            if (drill) {
                Drills.before(args[0]).run(fleet);
            }
            Duration up = begin(fleet, environment);
            System.out.println("Serving after " + up.toMillis() + " ms.");
            Load load = new Load(environment, fleet, 1);
            switch (command) {
                case "smoke" -> smoke(fleet, environment, load);
                case "load" -> load.run(Duration.ofSeconds(Long.parseLong(args[1])), Integer.parseInt(args[2]));
                case "drill" -> Drills.run(args[0], fleet, environment, load);
                case "up" -> stay(fleet);
                default -> throw new IllegalArgumentException("no command " + command + "; see --help");
            }
            boolean ok = report(fleet, environment, load);
            System.out.println(ok ? "PASS" : "FAIL");
            return ok;
        }
    }

    private static void smoke(Fleet fleet, StubEnvironment environment, Load load) {
        ClientLoad client = new ClientLoad(fleet.intakes.get(0).http, TestConfiguration.callerKey(0));
        try {
            String handle = client.submit("hold", "smoke");
            environment.await("the end of " + handle, Duration.ofSeconds(20), () -> client.over(handle));
            System.out.println("By the generated client: " + handle + " is "
                    + client.show(handle).getState() + ", proof "
                    + client.show(handle).getProof() + ".");
        } catch (ApiException e) {
            throw new IllegalStateException("the generated client got " + e.getCode() + " " + e.getResponseBody(), e);
        }
        load.run(Duration.ofSeconds(3), 50);
    }

    public static Set<String> drills() {
        return Drills.names();
    }

    static Duration begin(Fleet fleet, StubEnvironment environment) throws IOException {
        Duration begun = environment.times.monotonicTime();
        fleet.startAll();
        environment.putConfiguration(environment.configuration(), 0, "first");
        environment.listProcessors();
        environment.await(
                "readiness",
                Duration.ofSeconds(40),
                () -> fleet.intakes.stream().allMatch(environment::ready));
        return environment.times.monotonicTime().minus(begun);
    }

    private static void stay(Fleet fleet) {
        fleet.all()
                .forEach(process ->
                        System.out.println(process.name + " internal " + process.address + " http " + process.http));
        System.out.println("Caller keys: " + TestConfiguration.callerKey(0) + " .. "
                + TestConfiguration.callerKey(TENANTS - 1) + ". Press Enter to stop.");
        try {
            System.in.read();
        } catch (IOException e) {
            System.out.println("No input: stopping.");
        }
    }

    static boolean report(Fleet fleet, StubEnvironment environment, Load load) {
        boolean settled = load.settle(Duration.ofSeconds(90));
        System.out.println("Hand-ins by answer: " + load.kinds());
        load.broken().stream().limit(20).forEach(b -> System.out.println("BROKEN ANSWER: " + b));
        System.out.println("Accepted by state:  " + load.states() + (settled ? "" : " NOT ALL ENDED"));
        List<String> bad = new NeverList(environment.seen).violations();
        bad.stream().limit(20).forEach(b -> System.out.println("NEVER: " + b));
        System.out.println("Violations: " + bad.size());
        counts(fleet, environment);
        return settled
                && bad.isEmpty()
                && load.broken().isEmpty()
                && !load.states().isEmpty();
    }

    private static void counts(Fleet fleet, StubEnvironment environment) {
        long[] sum = new long[6];
        for (NodeProcess process : fleet.all()) {
            try {
                var got = environment
                        .client
                        .send("GET", process.http, "/v1/status", "", new byte[0], Map.of())
                        .join();
                sum[0] += got.json().path("syncs").asLong();
                sum[5] = Math.max(sum[5], got.json().path("ringFilesWritten").asLong());
                sum[1] += got.json().path("passes").path("atOnce").asLong();
                sum[2] += got.json().path("passes").path("waited").asLong();
                sum[3] += got.json().path("passes").path("throttled").asLong();
                sum[4] += got.json().path("passes").path("asks").asLong();
            } catch (CompletionException e) {
                System.out.println(process.name + " does not answer.");
            }
        }
        System.out.println("Store syncs " + sum[0] + "; passes at once " + sum[1] + ", after a wait " + sum[2]
                + ", throttled " + sum[3] + "; batch requests " + sum[4] + "; most ring files written " + sum[5] + ".");
    }
}
