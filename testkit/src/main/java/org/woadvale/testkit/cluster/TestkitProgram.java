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

/** The testkit's command line: fleets of real processes on this machine, simulations and measurements. */
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
                    default -> runOnFleet(args[0], rest) ? 0 : 1;
                });
    }

    private static void help() {
        System.out.println("smoke [SHAPE]                    starts a fleet, submits, checks, stops");
        System.out.println("load SHAPE SECONDS RATE          runs mixed traffic, then prints the checks and counts");
        System.out.println(
                "drill NAME [SHAPE]               runs traffic with a failure; NAME is one of " + Drills.names());
        System.out.println("up [SHAPE]                       starts a fleet with stub services and leaves it running");
        System.out.println(
                "capacity [--only MECHANISM] [--nodes 30,60,120,240] [--largest 960]  slopes for docs/CAPACITY.md");
        System.out.println("platform --seeds A..B [SECONDS]  runs simulations behind the platform's interface");
        System.out.println("trace [SEEDS]                    prints digests of simulations, to compare two builds");
        System.out.println("explore [--nodes 3] [--depth 60] [--deviations D] [--seconds S] [--seed N] "
                + "[--start empty|led] [--mutant NAME]  explores schedules of the replication engine");
        System.out.println("SHAPE is small, lankavidya or rotterdam.");
    }

    private static boolean platformDays(String[] args) {
        boolean hasSeeds = args.length > 1 && args[0].equals("--seeds");
        long seconds = args.length > 2 ? Long.parseLong(args[2]) : DEFAULT_DAY_SECONDS;
        return hasSeeds && SeededPlatformDays.sweep(args[1], Duration.ofSeconds(seconds));
    }

    /** Runs a command against a fleet of processes on this machine; returns whether all checks passed. */
    private static boolean runOnFleet(String command, String[] args) throws IOException, ServiceException {
        boolean drill = command.equals("drill");
        int shapeIndex = drill ? 1 : 0;
        Shape shape = Shape.of(args.length > shapeIndex ? args[shapeIndex] : "small");
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
                case "up" -> waitForEnter(fleet);
                default -> throw new IllegalArgumentException("unknown command " + command + "; see --help");
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
            environment.await("the end of " + handle, Duration.ofSeconds(20), () -> client.isTerminal(handle));
            System.out.println("Submitted by the generated client: " + handle + " is "
                    + client.show(handle).getState() + ", proof "
                    + client.show(handle).getProof() + ".");
        } catch (ApiException e) {
            throw new IllegalStateException(
                    "the generated client received " + e.getCode() + " " + e.getResponseBody(), e);
        }
        load.run(Duration.ofSeconds(3), 50);
    }

    public static Set<String> drills() {
        return Drills.names();
    }

    static Duration begin(Fleet fleet, StubEnvironment environment) throws IOException {
        Duration start = environment.times.monotonicTime();
        fleet.startAll();
        environment.putConfiguration(environment.configuration(), 0, "first");
        environment.listProcessors();
        environment.await(
                "readiness",
                Duration.ofSeconds(40),
                () -> fleet.intakes.stream().allMatch(environment::ready));
        return environment.times.monotonicTime().minus(start);
    }

    private static void waitForEnter(Fleet fleet) {
        fleet.all()
                .forEach(process ->
                        System.out.println(process.name + " internal " + process.address + " http " + process.http));
        System.out.println("Caller keys: " + TestConfiguration.callerKey(0) + " .. "
                + TestConfiguration.callerKey(TENANTS - 1) + ". Press Enter to stop.");
        try {
            System.in.read();
        } catch (IOException e) {
            System.out.println("Standard input cannot be read; stopping.");
        }
    }

    static boolean report(Fleet fleet, StubEnvironment environment, Load load) {
        boolean allEnded = load.settle(Duration.ofSeconds(90));
        System.out.println("Submissions by answer: " + load.countsByOutcome());
        load.broken().stream().limit(20).forEach(b -> System.out.println("BROKEN ANSWER: " + b));
        System.out.println("Accepted by state:     " + load.states() + (allEnded ? "" : " NOT ALL ENDED"));
        List<String> violations = new NeverList(environment.observations).violations();
        violations.stream().limit(20).forEach(b -> System.out.println("NEVER: " + b));
        System.out.println("Violations: " + violations.size());
        printCounts(fleet, environment);
        return allEnded
                && violations.isEmpty()
                && load.broken().isEmpty()
                && !load.states().isEmpty();
    }

    private static void printCounts(Fleet fleet, StubEnvironment environment) {
        long[] sums = new long[6];
        for (NodeProcess process : fleet.all()) {
            try {
                var answer = environment
                        .client
                        .send("GET", process.http, "/v1/status", "", new byte[0], Map.of())
                        .join();
                sums[0] += answer.json().path("syncs").asLong();
                sums[5] =
                        Math.max(sums[5], answer.json().path("ringFilesWritten").asLong());
                sums[1] += answer.json().path("passes").path("atOnce").asLong();
                sums[2] += answer.json().path("passes").path("waited").asLong();
                sums[3] += answer.json().path("passes").path("throttled").asLong();
                sums[4] += answer.json().path("passes").path("asks").asLong();
            } catch (CompletionException e) {
                System.out.println(process.name + " does not answer.");
            }
        }
        System.out.println("Store syncs " + sums[0] + "; rate-limit passes: immediate " + sums[1] + ", after waiting "
                + sums[2] + ", throttled " + sums[3] + "; batch requests " + sums[4]
                + "; maximum of ring files written " + sums[5] + ".");
    }
}
