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

/** A real fleet on one machine from one command: design 12.2. */
public final class TestkitProgram {
    private static final int TENANTS = 8;

    private TestkitProgram() {}

    public static void main(String[] args) throws IOException, ServiceException {
        if (args.length == 0 || args[0].equals("--help")) {
            System.out.println("harbour smoke [SHAPE]            starts a fleet, hands in, checks, stops");
            System.out.println("harbour load SHAPE SECONDS RATE  mixed traffic, then the never-list and the counts");
            System.out.println(
                    "harbour drill NAME [SHAPE]       traffic with a failure; NAME is one of " + Drills.names());
            System.out.println("harbour up [SHAPE]               starts a fleet with stand-ins and leaves it running");
            System.out.println(
                    "capacity [--only MECHANISM] [--nodes 30,60,120,240] [--largest 960]  slopes for docs/CAPACITY.md");
            System.out.println("platform --seeds A..B [SECONDS]  simulated days behind the platform's doors");
            System.out.println("trace [SEEDS]                    digests of simulated days, to compare two builds");
            System.out.println("explore [--nodes 3] [--depth 60] [--deviations D] [--seconds S] [--seed N] "
                    + "[--start empty|led] [--mutant NAME]  schedules of the replication engine");
            System.out.println("SHAPE is small, lankavidya or rotterdam.");
            System.exit(args.length == 0 ? 2 : 0);
        }
        if (args[0].equals("capacity")) {
            System.exit(new CapacityCommand(System.out, System.err).run(Arrays.copyOfRange(args, 1, args.length)));
        }
        if (args[0].equals("platform")) {
            System.exit(
                    args.length > 2
                                    && args[1].equals("--seeds")
                                    && SeededPlatformDays.sweep(
                                            args[2], Duration.ofSeconds(args.length > 3 ? Long.parseLong(args[3]) : 40))
                            ? 0
                            : 1);
        }
        if (args[0].equals("trace")) {
            System.exit(new TraceCommand(System.out).run(args.length > 1 ? Long.parseLong(args[1]) : 3));
        }
        if (args[0].equals("explore")) {
            System.exit(new ExploreCommand(System.out).run(Arrays.copyOfRange(args, 1, args.length)));
        }
        boolean drill = args[0].equals("drill");
        Shape shape = Shape.of(args.length > (drill ? 2 : 1) ? args[drill ? 2 : 1] : "small");
        Path root = Files.createTempDirectory("harbour");
        System.out.println("Data and logs: " + root);
        boolean ok;
        try (Fleet fleet = new Fleet(shape, root)) {
            TestConfiguration testConfiguration = new TestConfiguration(TENANTS, shape.endpoints, 45, 60, 26);
            try (StubEnvironment town = new StubEnvironment(fleet, shape, testConfiguration)) {
                if (drill) {
                    Drills.before(args[1]).run(fleet);
                }
                Duration up = begin(fleet, town);
                System.out.println("Serving after " + up.toMillis() + " ms.");
                Load load = new Load(town, fleet, 1);
                switch (args[0]) {
                    case "smoke" -> smoke(fleet, town, load);
                    case "load" -> load.run(Duration.ofSeconds(Long.parseLong(args[2])), Integer.parseInt(args[3]));
                    case "drill" -> Drills.run(args[1], fleet, town, load);
                    case "up" -> stay(fleet);
                    default -> throw new IllegalArgumentException("no command " + args[0] + "; see --help");
                }
                ok = report(fleet, town, load);
            }
        }
        System.out.println(ok ? "PASS" : "FAIL");
        System.exit(ok ? 0 : 1);
    }

    private static void smoke(Fleet fleet, StubEnvironment town, Load load) {
        ClientLoad client = new ClientLoad(fleet.intakes.get(0).http, TestConfiguration.callerKey(0));
        try {
            String handle = client.submit("hold", "smoke");
            town.await("the end of " + handle, Duration.ofSeconds(20), () -> client.over(handle));
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

    static Duration begin(Fleet fleet, StubEnvironment town) throws IOException {
        Duration begun = town.times.monotonicTime();
        fleet.startAll();
        town.putConfiguration(town.configuration(), 0, "first");
        town.listProcessors();
        town.await(
                "readiness",
                Duration.ofSeconds(40),
                () -> fleet.intakes.stream().allMatch(town::ready));
        return town.times.monotonicTime().minus(begun);
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

    static boolean report(Fleet fleet, StubEnvironment town, Load load) {
        boolean settled = load.settle(Duration.ofSeconds(90));
        System.out.println("Hand-ins by answer: " + load.kinds());
        load.broken().stream().limit(20).forEach(b -> System.out.println("BROKEN ANSWER: " + b));
        System.out.println("Accepted by state:  " + load.states() + (settled ? "" : " NOT ALL ENDED"));
        List<String> bad = new NeverList(town.seen).violations();
        bad.stream().limit(20).forEach(b -> System.out.println("NEVER: " + b));
        System.out.println("Violations: " + bad.size());
        counts(fleet, town);
        return settled
                && bad.isEmpty()
                && load.broken().isEmpty()
                && !load.states().isEmpty();
    }

    private static void counts(Fleet fleet, StubEnvironment town) {
        long[] sum = new long[6];
        for (NodeProcess process : fleet.all()) {
            try {
                var got = town.client
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
