package org.woadvale.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.NeverList;

/** Each never-line's scenario twice: as shipped, and with one mechanism left out. (docs/design.md, section 12.3) */
public final class Pairs {
    private interface Scene {
        FleetSimulation play(long seed, FleetOverrides seams) throws ServiceException;
    }

    /** The line, what is brought about, and what the stand-in leaves out. */
    public static final class Pair {
        public final String line;
        public final String failure;
        public final String leftOut;
        private final Scene scene;
        private final FleetOverrides naive;

        private Pair(String line, String failure, String leftOut, Scene scene, FleetOverrides naive) {
            this.line = line;
            this.failure = failure;
            this.leftOut = leftOut;
            this.scene = scene;
            this.naive = naive;
        }

        public List<String> shipped(long seed) throws ServiceException {
            return scene.play(seed, FleetOverrides.none()).violations();
        }

        public List<String> brokenWithout(long seed) throws ServiceException {
            return new NeverList(scene.play(seed, naive).w.seen).broken();
        }

        @Override
        public String toString() {
            return line;
        }
    }

    private Pairs() {}

    private static Pair configuration() {
        AtomicReference<String> cut = new AtomicReference<>("");
        return new Pair(
                "09",
                "owner of the layout cut off, read there",
                "clock that counts while the claim runs out",
                (s, seams) -> FailureScenarios.ownerOfTheLayoutCutOff(s, seams, cut),
                NaiveVariants.stoppedClock(a -> a.equals(cut.get())));
    }

    public static List<Pair> all() {
        return List.of(
                new Pair(
                        "01",
                        "power lost everywhere",
                        "sync before the answer",
                        FailureScenarios::powerLossEverywhere,
                        NaiveVariants.lyingDisk()),
                new Pair(
                        "02",
                        "errors after the work",
                        "only 429 and 503 mean not done",
                        FailureScenarios::errorsAfterTheWork,
                        NaiveVariants.anyErrorIsLater()),
                new Pair(
                        "03",
                        "stores' answers do not come back",
                        "no answer is not a no",
                        FailureScenarios::answersDoNotComeBack,
                        NaiveVariants.silenceIsNo()),
                new Pair(
                        "04",
                        "work longer than an attempt",
                        "no answer is not an end",
                        FailureScenarios::workLongerThanAnAttempt,
                        NaiveVariants.silenceIsRefusal()),
                new Pair(
                        "05",
                        "streams stall under a flood",
                        "a time by which a hand-in must have come",
                        FailureScenarios::stalledStreams,
                        NaiveVariants.timelessHandIns()),
                new Pair(
                        "06",
                        "streams to an endpoint open slowly",
                        "the last look when the stream is open",
                        FailureScenarios::streamsThatOpenSlowly,
                        NaiveVariants.lookFirstSendLater()),
                new Pair(
                        "07",
                        "key withdrawn, a hall out of touch",
                        "age of news",
                        FailureScenarios::keyWithdrawnOutOfTouch,
                        NaiveVariants.noNewsIsGoodNews()),
                new Pair(
                        "08",
                        "lane removed, a hall out of touch",
                        "age of news",
                        FailureScenarios::lanesChangedOutOfTouch,
                        NaiveVariants.noNewsIsGoodNews()),
                configuration(),
                new Pair(
                        "10",
                        "processors marked, stores out of touch",
                        "age of news",
                        FailureScenarios::markedOutOfTouch,
                        NaiveVariants.noNewsIsGoodNews()),
                new Pair(
                        "11",
                        "something answers 200 for the endpoints",
                        "echo and receipt",
                        FailureScenarios::somethingInBetween,
                        NaiveVariants.everySuccessIsProof()),
                new Pair(
                        "12",
                        "two full outages",
                        "short claims",
                        FailureScenarios::twoOutages,
                        NaiveVariants.longLeases()));
    }

    /** pairs FROM TO: the table; exits non-zero if a shipped run broke anything or a pair did not break its line. */
    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        long to = Long.parseLong(args[1]);
        System.out.println(
                "| line | brought about | left out | seeds | shipped broke | without it broke the line | and others |");
        System.out.println("|---|---|---|---|---|---|---|");
        List<Boolean> good = new ArrayList<>();
        all().parallelStream().map(pair -> row(pair, from, to, good)).toList().forEach(System.out::println);
        System.exit(good.contains(false) ? 1 : 0);
    }

    private static String row(Pair pair, long from, long to, List<Boolean> good) {
        int shipped = 0;
        int broke = 0;
        TreeSet<String> others = new TreeSet<>();
        List<String> first = new ArrayList<>();
        for (long seed = from; seed <= to; seed++) {
            try {
                List<String> bad = pair.shipped(seed);
                shipped += bad.isEmpty() ? 0 : 1;
                if (!bad.isEmpty() && first.isEmpty()) {
                    first.add(" (seed " + seed + ": " + bad.get(0) + ")");
                }
                List<String> lines = pair.brokenWithout(seed);
                broke += lines.contains(pair.line) ? 1 : 0;
                others.addAll(lines);
            } catch (ServiceException failure) {
                throw new IllegalStateException(pair.line + " seed " + seed, failure);
            }
        }
        others.remove(pair.line);
        synchronized (good) {
            good.add(shipped == 0 && broke > 0);
        }
        return "| " + pair.line + " | " + pair.failure + " | " + pair.leftOut + " | " + (to - from + 1) + " | "
                + shipped + String.join("", first) + " | " + broke + " | " + String.join(" ", others) + " |";
    }
}
