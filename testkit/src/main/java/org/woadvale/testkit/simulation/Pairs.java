package org.woadvale.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.NeverList;

/**
 * Runs the scenario of each rule of the never list as shipped and with one mechanism disabled
 * (docs/design.md, section 12.3).
 */
public final class Pairs {
    private interface Scenario {
        FleetSimulation play(long seed, FleetOverrides overrides) throws ServiceException;
    }

    /** The rule, the failure that the scenario produces, and the mechanism that the overrides disable. */
    public static final class Pair {
        public final String invariant;
        public final String failure;
        public final String disabledMechanism;
        private final Scenario scenario;
        private final FleetOverrides overrides;

        private Pair(String line, String failure, String leftOut, Scenario scenario, FleetOverrides overrides) {
            this.invariant = line;
            this.failure = failure;
            this.disabledMechanism = leftOut;
            this.scenario = scenario;
            this.overrides = overrides;
        }

        public List<String> violations(long seed) throws ServiceException {
            return scenario.play(seed, FleetOverrides.none()).violations();
        }

        public List<String> violatedWithoutMechanism(long seed) throws ServiceException {
            return new NeverList(scenario.play(seed, overrides).fleet.observations).broken();
        }

        @Override
        public String toString() {
            return invariant;
        }
    }

    private Pairs() {}

    private static Pair isolatedConfigurationLeader() {
        AtomicReference<String> isolated = new AtomicReference<>("");
        return new Pair(
                "09",
                "read from the configuration leader while it is partitioned",
                "clock that advances while the lease expires",
                (seed, overrides) -> FailureScenarios.configurationLeaderIsolated(seed, overrides, isolated),
                DisabledMechanisms.stoppedClock(address -> address.equals(isolated.get())));
    }

    public static List<Pair> all() {
        return List.of(
                new Pair(
                        "01",
                        "power loss of all machines",
                        "sync before acknowledgement",
                        FailureScenarios::powerLossEverywhere,
                        DisabledMechanisms.diskWithoutSync()),
                new Pair(
                        "02",
                        "processors answer with errors after the work is done",
                        "only 429 and 503 count as not executed",
                        FailureScenarios::errorsAfterTheWork,
                        DisabledMechanisms.serverErrorsAreRetried()),
                new Pair(
                        "03",
                        "responses of the stores are lost",
                        "a missing response is not a rejection",
                        FailureScenarios::storeResponsesLost,
                        DisabledMechanisms.submissionTimeoutIsNotSent()),
                new Pair(
                        "04",
                        "work takes longer than the attempt timeout",
                        "a missing response does not end a message",
                        FailureScenarios::workLongerThanAnAttempt,
                        DisabledMechanisms.deliveryTimeoutIsRejection()),
                new Pair(
                        "05",
                        "connections stall under high load",
                        "deadline for submissions",
                        FailureScenarios::stalledStreams,
                        DisabledMechanisms.submissionsWithoutDeadline()),
                new Pair(
                        "06",
                        "connections to an endpoint open slowly",
                        "permission check once the connection is open",
                        FailureScenarios::streamsThatOpenSlowly,
                        DisabledMechanisms.permissionCheckedBeforeConnecting()),
                new Pair(
                        "07",
                        "key withdrawn while a zone is partitioned",
                        "age limit of service views",
                        FailureScenarios::keyWithdrawnWhileDisconnected,
                        DisabledMechanisms.cachedViewsNeverExpire()),
                new Pair(
                        "08",
                        "lane removed while a zone is partitioned",
                        "age limit of service views",
                        FailureScenarios::lanesChangedWhileDisconnected,
                        DisabledMechanisms.cachedViewsNeverExpire()),
                isolatedConfigurationLeader(),
                new Pair(
                        "10",
                        "processors marked as leaving while stores are partitioned",
                        "age limit of service views",
                        FailureScenarios::drainedWhileDisconnected,
                        DisabledMechanisms.cachedViewsNeverExpire()),
                new Pair(
                        "11",
                        "an intermediary answers 200 for the endpoints",
                        "echo and receipt in the response",
                        FailureScenarios::middleboxAnswers,
                        DisabledMechanisms.successNeedsNoReceipt()),
                new Pair(
                        "12",
                        "two full outages",
                        "short leases",
                        FailureScenarios::twoOutages,
                        DisabledMechanisms.longLeases()));
    }

    /**
     * {@code pairs FROM TO}: prints the table for a range of seeds. Exits non-zero if a run as shipped broke any rule,
     * or a rule stayed unbroken without its mechanism.
     */
    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        long to = Long.parseLong(args[1]);
        System.out.println("| rule | failure | disabled mechanism | seeds | broken as shipped | broken without it "
                + "| other rules broken |");
        System.out.println("|---|---|---|---|---|---|---|");
        List<Boolean> passed = new ArrayList<>();
        all().parallelStream().map(pair -> row(pair, from, to, passed)).toList().forEach(System.out::println);
        System.exit(passed.contains(false) ? 1 : 0);
    }

    private static String row(Pair pair, long from, long to, List<Boolean> passed) {
        int shippedBroken = 0;
        int brokenWithout = 0;
        TreeSet<String> others = new TreeSet<>();
        List<String> first = new ArrayList<>();
        for (long seed = from; seed <= to; seed++) {
            try {
                List<String> violations = pair.violations(seed);
                shippedBroken += violations.isEmpty() ? 0 : 1;
                if (!violations.isEmpty() && first.isEmpty()) {
                    first.add(" (seed " + seed + ": " + violations.get(0) + ")");
                }
                List<String> brokenRules = pair.violatedWithoutMechanism(seed);
                brokenWithout += brokenRules.contains(pair.invariant) ? 1 : 0;
                others.addAll(brokenRules);
            } catch (ServiceException failure) {
                throw new IllegalStateException(pair.invariant + " seed " + seed, failure);
            }
        }
        others.remove(pair.invariant);
        synchronized (passed) {
            passed.add(shippedBroken == 0 && brokenWithout > 0);
        }
        return "| " + pair.invariant + " | " + pair.failure + " | " + pair.disabledMechanism + " | " + (to - from + 1)
                + " | "
                + shippedBroken + String.join("", first) + " | " + brokenWithout + " | " + String.join(" ", others)
                + " |";
    }
}
