package org.woadvale.testkit.simulation;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Scenarios that inject the failure against which each rule protects, as shipped and with one mechanism disabled
 * (docs/design.md, section 12.3).
 */
public final class PlatformScenarios {
    private PlatformScenarios() {}

    public static List<RuleScenario> all() {
        AtomicBoolean viewsFrozen = new AtomicBoolean();
        return List.of(
                new RuleScenario(
                        "LOST",
                        "power loss of all machines",
                        "sync before acknowledgement",
                        PlatformFailures::powerLossEverywhere,
                        BareReplicas.lyingStores()),
                new RuleScenario(
                        "REFUSED",
                        "responses of the stores are lost",
                        "a missing response is not a rejection",
                        PlatformFailures::answersDoNotComeBack,
                        NaiveVariants.submissionTimeoutIsNotSent()),
                new RuleScenario(
                        "ORDER",
                        "processors break off without a response",
                        "a missing response does not end a message",
                        PlatformFailures::processorsBreakOff,
                        BareReplicas.silenceIsRefusal()),
                new RuleScenario(
                        "TWICE read",
                        "traffic without faults",
                        "a sealed response proves execution",
                        simulation -> PlatformFailures.runTraffic(simulation, 30, 5),
                        BareReplicas.successIsNoProof()),
                new RuleScenario(
                        "TWICE leases",
                        "processors do not extend their leases",
                        "only the current lease ends a message",
                        PlatformFailures::processorsStopExtendingLeases,
                        BareReplicas.anyLeaseWillDo()),
                new RuleScenario(
                        "MIXED",
                        "processors fail",
                        "only a seal proves execution",
                        PlatformFailures::processorsBreakOff,
                        BareReplicas.errorIsSuccess()),
                new RuleScenario(
                        "ROUTE",
                        "another service reuses an address",
                        "the expected instance in the request",
                        PlatformFailures::reusedAddress,
                        BareReplicas.nobodyIsExpected()),
                new RuleScenario(
                        "UNASKED",
                        "traffic without faults",
                        "bodies are delivered unchanged",
                        simulation -> PlatformFailures.runTraffic(simulation, 30, 3),
                        BareReplicas.bytesChange()),
                new RuleScenario(
                        "CEILING",
                        "connections to the endpoint open slowly",
                        "permission check once the connection is open",
                        PlatformFailures::slowStreams,
                        BareReplicas.lookFirstSendLater()),
                new RuleScenario(
                        "QUOTA",
                        "connections stall under high load",
                        "deadline for submissions",
                        PlatformFailures::stalledStreams,
                        NaiveVariants.submissionsWithoutDeadline()),
                new RuleScenario(
                        "CONFIG revoked",
                        "a key is withdrawn",
                        "service views of known age",
                        simulation -> PlatformFailures.keyWithdrawn(simulation, viewsFrozen),
                        BareReplicas.newsStands(viewsFrozen::get)),
                new RuleScenario(
                        "CONFIG ignored",
                        "a route is added",
                        "service views of known age",
                        simulation -> PlatformFailures.routeAdded(simulation, viewsFrozen),
                        BareReplicas.newsStands(viewsFrozen::get)),
                new RuleScenario(
                        "DRAIN",
                        "a processor leaves",
                        "service views of known age",
                        simulation -> PlatformFailures.processorLeaves(simulation, viewsFrozen),
                        BareReplicas.newsStands(viewsFrozen::get)));
    }
}
