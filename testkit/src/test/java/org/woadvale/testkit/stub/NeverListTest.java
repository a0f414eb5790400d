package org.woadvale.testkit.stub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadvale.testkit.stub.Observations.SubmissionOutcome;

/** Each planted fault fails its own check and no other; a valid history passes all checks. */
class NeverListTest {
    private static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static Observations.Submitted submitted(
            String id, String handle, SubmissionOutcome said, String key, double at) {
        return new Observations.Submitted("t", id, "l", "", key, s(at), s(at), said, "", handle, false);
    }

    private static Observations.RunStarted ran(String handle, String id, String order, String processor, double at) {
        return new Observations.RunStarted(handle, id, "t", "l", order, 1, processor, "svc", s(at));
    }

    private static Observations.RunAnswered succeeded(String handle, double at) {
        return new Observations.RunAnswered(handle, 1, "p", s(at), true, "r-" + handle);
    }

    private static Observations.StatusRead shown(String handle, String state, String proof, double at) {
        return new Observations.StatusRead(
                handle, state, proof, "l", s(at), s(at), Observations.UNSEEN, Observations.UNSEEN);
    }

    private static Observations validHistory() {
        Observations observations = new Observations();
        observations.tenantLimit("t", new Observations.Limit(1, 5, s(0), s(0)));
        observations.endpointLimit("e", new Observations.Limit(2, 0, s(0), s(0)));
        observations.lane("l", new Observations.LaneLimits(60000, 3));
        observations.submitted.add(submitted("a", "m0-1", SubmissionOutcome.ACCEPTED, "k", 1));
        observations.submitted.add(submitted("b", "", SubmissionOutcome.REFUSED, "k", 1));
        observations.ran.add(ran("m0-1", "a", "o", "p", 2));
        observations.answered.add(succeeded("m0-1", 3));
        observations.shown.add(shown("m0-1", "done", "r-m0-1", 4));
        observations.configurations.add(new Observations.ConfigurationAnswer("q", 1, true, true, s(1), "d1"));
        observations.reads.add(new Observations.ConfigurationRead(1, "d1", s(2)));
        observations.keys.add(new Observations.KeyWithdrawn("k", s(1)));
        observations.leaving.add(new Observations.MarkedLeaving("p", s(1)));
        observations.outages.add(new Observations.Outage(s(1), s(10)));
        return observations;
    }

    static Stream<Arguments> planted() {
        Map<String, Consumer<Observations>> faults = new TreeMap<>();
        faults.put("00 nothing", observations -> {});
        faults.put(
                "01",
                observations -> observations.submitted.add(submitted("c", "m0-2", SubmissionOutcome.ACCEPTED, "k", 1)));
        faults.put(
                "01 failed for no reason",
                observations -> observations.shown.add(shown("m0-4", "failed", "who knows", 4)));
        faults.put("01 attempts not used up", observations -> {
            observations.turnedAway.add(new Observations.AttemptRejected("m0-4", 1, s(2)));
            observations.shown.add(shown("m0-4", "failed", "attempts used up; last: answer 503", 4));
        });
        faults.put("02", observations -> observations.ran.add(ran("m0-1", "a", "o", "p", 3.5)));
        faults.put("03", observations -> {
            observations.ran.add(ran("m0-9", "b", "", "p", 2));
            observations.answered.add(succeeded("m0-9", 3));
        });
        faults.put("04", observations -> {
            observations.ran.add(ran("m0-2", "c", "o", "p", 2.5));
            observations.answered.add(succeeded("m0-2", 3.5));
        });
        faults.put("04 an earlier message had not ended", observations -> {
            observations.submitted.add(new Observations.Submitted(
                    "t", "c", "l", "o", "k", s(1), s(1), SubmissionOutcome.ACCEPTED, "", "m0-0", false));
            observations.shown.add(
                    new Observations.StatusRead("m0-0", "failed", "unclear", "l", s(4), s(4), s(1), s(2.5)));
        });
        faults.put("05 unknown answer but accepted", observations -> {
            for (int i = 10; i < 22; i++) {
                observations.submitted.add(submitted("n" + i, "", SubmissionOutcome.UNKNOWN, "other", 1));
                observations.ran.add(ran("m1-" + i, "n" + i, "", "p2", 2));
                observations.answered.add(succeeded("m1-" + i, 3));
            }
        });
        faults.put("05 after the limit was lowered", observations -> {
            observations.tenantLimit("t", new Observations.Limit(0.1, 1, s(10), s(10)));
            for (int i = 10; i < 15; i++) {
                observations.submitted.add(submitted("n" + i, "m1-" + i, SubmissionOutcome.ACCEPTED, "other", 14));
                observations.shown.add(shown("m1-" + i, "failed", "unclear", 15));
            }
        });
        faults.put("05", observations -> {
            for (int i = 10; i < 22; i++) {
                observations.submitted.add(submitted("n" + i, "m1-" + i, SubmissionOutcome.ACCEPTED, "other", 1));
                observations.shown.add(shown("m1-" + i, "failed", "unclear", 4));
            }
        });
        faults.put("06", observations -> {
            for (int i = 0; i < 12; i++) {
                observations.endpoints.add(new Observations.RequestAtEndpoint("e", s(1 + i * 0.1)));
            }
        });
        faults.put("07", observations -> {
            observations.submitted.add(submitted("z", "m0-7", SubmissionOutcome.ACCEPTED, "k", 6.5));
            observations.shown.add(shown("m0-7", "failed", "unclear", 9));
        });
        faults.put(
                "07 fetch served",
                observations -> observations.served.add(new Observations.RequestServed("k", "fetch", s(6.5))));
        faults.put("07 accepted late", observations -> {
            observations.submitted.add(submitted("z", "m0-7", SubmissionOutcome.ACCEPTED, "k", 5.5));
            observations.shown.add(
                    new Observations.StatusRead("m0-7", "failed", "unclear", "l", s(9), s(9), s(6.5), s(7)));
        });
        faults.put("08 reverted to an older version", observations -> {
            observations.versions.add(new Observations.NodeVersion("n", 4, s(1)));
            observations.versions.add(new Observations.NodeVersion("n", -1, s(2)));
            observations.versions.add(new Observations.NodeVersion("n", 3, s(3)));
        });
        faults.put(
                "08",
                observations -> observations.ignored.add(new Observations.IgnoredConfiguration("lane", s(1), s(4.5))));
        faults.put("09", observations -> observations.reads.add(new Observations.ConfigurationRead(0, "d0", s(2))));
        faults.put("10", observations -> {
            observations.ran.add(ran("m0-8", "y", "", "p", 4.5));
            observations.answered.add(succeeded("m0-8", 5));
        });
        faults.put("11", observations -> observations.shown.add(shown("m0-5", "done", "made up", 4)));
        faults.put("12", observations -> observations.outages.add(new Observations.Outage(s(1), s(14))));
        return faults.entrySet().stream().map(entry -> Arguments.of(entry.getKey(), entry.getValue()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("planted")
    void onlyThePlantedFaultIsFound(String line, Consumer<Observations> plant) {
        Observations observations = validHistory();
        plant.accept(observations);
        List<String> found = new NeverList(observations).broken();
        assertEquals(line.startsWith("00") ? List.of() : List.of(line.substring(0, 2)), found);
    }

    @Test
    void endedMessageMustNotBeShownAsOpenLater() {
        Observations observations = validHistory();
        observations.shown.add(new Observations.StatusRead(
                "m0-1", "ready", "", "l", s(3.9), s(4.5), Observations.UNSEEN, Observations.UNSEEN));
        assertEquals(List.of(), new MessageChecks(observations).lost());
        observations.shown.add(new Observations.StatusRead(
                "m0-1", "ready", "", "l", s(4.1), s(4.5), Observations.UNSEEN, Observations.UNSEEN));
        assertEquals(1, new MessageChecks(observations).lost().size());
    }

    @Test
    void invalidAndDuplicateConfigurationVersionsAreFound() {
        Observations observations = validHistory();
        observations.configurations.add(new Observations.ConfigurationAnswer("r", 1, true, true, s(2), "d2"));
        observations.configurations.add(new Observations.ConfigurationAnswer("bad", 2, true, false, s(2), "d3"));
        assertEquals(2, new OperatorChecks(observations).badConfiguration().size());
    }
}
