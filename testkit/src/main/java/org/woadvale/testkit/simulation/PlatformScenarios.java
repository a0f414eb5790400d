package org.woadvale.testkit.simulation;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Scenarios that bring about the failure each rule is meant for, as shipped and with one mechanism left out.
 * (docs/design.md, section 12.3)
 */
public final class PlatformScenarios {
    private PlatformScenarios() {}

    public static List<RuleScenario> all() {
        AtomicBoolean frozen = new AtomicBoolean();
        return List.of(
                new RuleScenario(
                        "LOST",
                        "power lost everywhere",
                        "sync before the answer",
                        PlatformFailures::powerLost,
                        BareReplicas.lyingStores()),
                new RuleScenario(
                        "REFUSED",
                        "stores' answers do not come back",
                        "no answer is not a no",
                        PlatformFailures::answersDoNotComeBack,
                        NaiveVariants.silenceIsNo()),
                new RuleScenario(
                        "ORDER",
                        "processors break off",
                        "silence is not an end",
                        PlatformFailures::breakingOff,
                        BareReplicas.silenceIsRefusal()),
                new RuleScenario(
                        "TWICE read",
                        "a good day",
                        "a sealed answer is proof",
                        simulation -> PlatformFailures.served(simulation, 30, 5),
                        BareReplicas.successIsNoProof()),
                new RuleScenario(
                        "TWICE leases",
                        "processors say nothing for longer than a lease",
                        "only the present lease ends it",
                        PlatformFailures::muteProcessors,
                        BareReplicas.anyLeaseWillDo()),
                new RuleScenario(
                        "MIXED",
                        "processors fail",
                        "only a seal is proof",
                        PlatformFailures::breakingOff,
                        BareReplicas.errorIsSuccess()),
                new RuleScenario(
                        "ROUTE",
                        "another service takes an address",
                        "the expected instance",
                        PlatformFailures::reusedAddress,
                        BareReplicas.nobodyIsExpected()),
                new RuleScenario(
                        "UNASKED",
                        "a good day",
                        "bytes go as they came",
                        simulation -> PlatformFailures.served(simulation, 30, 3),
                        BareReplicas.bytesChange()),
                new RuleScenario(
                        "CEILING",
                        "streams to the endpoint open slowly",
                        "the last look when the stream is open",
                        PlatformFailures::slowStreams,
                        BareReplicas.lookFirstSendLater()),
                new RuleScenario(
                        "QUOTA",
                        "streams stall under a flood",
                        "a time by which a hand-in must have come",
                        PlatformFailures::stalled,
                        NaiveVariants.timelessHandIns()),
                new RuleScenario(
                        "CONFIG revoked",
                        "a key is withdrawn",
                        "news of proven age",
                        simulation -> PlatformFailures.keyWithdrawn(simulation, frozen),
                        BareReplicas.newsStands(frozen::get)),
                new RuleScenario(
                        "CONFIG ignored",
                        "a route comes",
                        "news of proven age",
                        simulation -> PlatformFailures.routeAdded(simulation, frozen),
                        BareReplicas.newsStands(frozen::get)),
                new RuleScenario(
                        "DRAIN",
                        "a processor leaves",
                        "news of proven age",
                        simulation -> PlatformFailures.processorLeaves(simulation, frozen),
                        BareReplicas.newsStands(frozen::get)));
    }
}
