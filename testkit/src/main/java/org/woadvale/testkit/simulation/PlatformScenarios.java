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
                        FaultyPlatformVariants.lyingStores()),
                new RuleScenario(
                        "REFUSED",
                        "responses of the stores are lost",
                        "a missing response is not a rejection",
                        PlatformFailures::answersDoNotComeBack,
                        DisabledMechanisms.submissionTimeoutIsNotSent()),
                new RuleScenario(
                        "ORDER",
                        "processors break off without a response",
                        "a missing response does not end a message",
                        PlatformFailures::processorsBreakOff,
                        FaultyPlatformVariants.silenceIsRefusal()),
                new RuleScenario(
                        "TWICE read",
                        "traffic without faults",
                        "a sealed response proves execution",
                        simulation -> PlatformFailures.runTraffic(simulation, 30, 5),
                        FaultyPlatformVariants.successWithoutSeal()),
                new RuleScenario(
                        "TWICE leases",
                        "processors do not extend their leases",
                        "only the current lease ends a message",
                        PlatformFailures::processorsStopExtendingLeases,
                        FaultyPlatformVariants.anyLeaseAccepted()),
                new RuleScenario(
                        "MIXED",
                        "processors fail",
                        "only a seal proves execution",
                        PlatformFailures::processorsBreakOff,
                        FaultyPlatformVariants.errorIsSuccess()),
                new RuleScenario(
                        "ROUTE",
                        "another service reuses an address",
                        "the expected instance in the request",
                        PlatformFailures::reusedAddress,
                        FaultyPlatformVariants.withoutExpectedInstance()),
                new RuleScenario(
                        "UNASKED",
                        "traffic without faults",
                        "bodies are delivered unchanged",
                        simulation -> PlatformFailures.runTraffic(simulation, 30, 3),
                        FaultyPlatformVariants.bytesChange()),
                new RuleScenario(
                        "CEILING",
                        "connections to the endpoint open slowly",
                        "permission check once the connection is open",
                        PlatformFailures::slowStreams,
                        FaultyPlatformVariants.lookFirstSendLater()),
                new RuleScenario(
                        "QUOTA",
                        "connections stall under high load",
                        "deadline for submissions",
                        PlatformFailures::stalledStreams,
                        DisabledMechanisms.submissionsWithoutDeadline()),
                new RuleScenario(
                        "CONFIG revoked",
                        "a key is withdrawn",
                        "service views of known age",
                        simulation -> PlatformFailures.keyWithdrawn(simulation, viewsFrozen),
                        FaultyPlatformVariants.staleViewsConfirmed(viewsFrozen::get)),
                new RuleScenario(
                        "CONFIG ignored",
                        "a route is added",
                        "service views of known age",
                        simulation -> PlatformFailures.routeAdded(simulation, viewsFrozen),
                        FaultyPlatformVariants.staleViewsConfirmed(viewsFrozen::get)),
                new RuleScenario(
                        "DRAIN",
                        "a processor leaves",
                        "service views of known age",
                        simulation -> PlatformFailures.processorLeaves(simulation, viewsFrozen),
                        FaultyPlatformVariants.staleViewsConfirmed(viewsFrozen::get)));
    }
}
