package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** Cucumber step definitions, run on a simulated fleet with a fixed seed. */
public class NeverSteps {
    private static final long SEED = 42;
    private FleetSimulation simulation;
    private ConfigurationOperator operator;

    @Given("a fleet of {int} intakes and {int} stores under {int} messages a second")
    public void startFleet(int intakes, int stores, int perSecond) throws ServiceException {
        simulation = new FleetSimulation(SEED, intakes, stores, 4).startAll();
        operator = new ConfigurationOperator(simulation);
        simulation.traffic(perSecond);
        simulation.fleet.sim.run(Duration.ofSeconds(4));
    }

    @When("{int} seconds pass")
    public void runFor(int seconds) {
        simulation.fleet.sim.run(Duration.ofSeconds(seconds));
    }

    @When("an intake is killed")
    public void killIntake() {
        simulation.fleet.kill(simulation.fleet.intakes.get(0));
    }

    @When("the holder of an allowance is killed")
    public void killAllowanceHolder() {
        String holder = simulation.fleet.intakes.stream()
                .filter(intake -> simulation
                        .fleet
                        .dataPlaneNode(intake)
                        .ownedBuckets()
                        .contains("tenant/" + TestConfiguration.tenant(0)))
                .findFirst()
                .orElseThrow();
        simulation.fleet.kill(holder);
    }

    @When("a store loses power")
    public void losePowerOfStore() {
        simulation.fleet.host(simulation.fleet.stores.get(1)).powerLoss();
    }

    @When("a control node is killed")
    public void killControlNode() {
        simulation.fleet.kill(simulation.fleet.controlNodes.get(0));
    }

    @When("an intake is cut off")
    public void cutIntake() {
        simulation.fleet.net.cutOff(simulation.fleet.intakes.get(1));
    }

    @When("a store is cut off one way")
    public void cutStoreOneWay() {
        simulation.fleet.all().stream()
                .filter(host -> !host.equals(simulation.fleet.stores.get(0)))
                .forEach(host -> simulation.fleet.net.cutOneWay(simulation.fleet.stores.get(0), host));
    }

    @When("everything loses power and is restarted")
    public void restartEverythingAfterPowerLoss() throws ServiceException {
        simulation.fleet.all().forEach(host -> simulation.fleet.host(host).powerLoss());
        simulation.fleet.sim.run(Duration.ofSeconds(1));
        for (String host : simulation.fleet.all()) {
            simulation.fleet.restart(host);
        }
    }

    @When("a key is withdrawn while an intake is cut off")
    public void withdrawKeyWhileIntakeIsCut() {
        operator.withdraw();
        simulation.fleet.sim.run(Duration.ofMillis(1500));
        simulation.fleet.net.cutOff(simulation.fleet.intakes.get(2));
        simulation.fleet.sim.run(Duration.ofSeconds(12));
        assertTrue(!simulation.fleet.observations.keys.isEmpty(), "the key must have been withdrawn");
    }

    @When("two layouts race and a bad one comes along")
    public void submitCompetingLayouts() {
        long previousVersion = simulation.version;
        operator.race();
        operator.bad();
        simulation.fleet.sim.run(Duration.ofSeconds(3));
        assertEquals(previousVersion + 1, simulation.version, "exactly one of the two layouts must be accepted");
        simulation.read();
        operator.change();
    }

    @When("a processor is marked as leaving")
    public void markLeaving() {
        simulation.putProcessor("p0", true);
    }

    @When("back ends lose half of their answers")
    public void loseAnswers() {
        simulation.fleet.deliveryNetwork.answerLoss(0.5);
    }

    @When("all is healed")
    public void heal() throws ServiceException {
        simulation.fleet.net.heal();
        simulation.fleet.deliveryNetwork.answerLoss(0);
        for (String host : simulation.fleet.all()) {
            simulation.fleet.restart(host);
        }
        simulation.fleet.sim.run(Duration.ofSeconds(3));
    }

    @Then("at least {int} messages were accepted and every one has ended")
    public void assertAllEnded(int minAccepted) {
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "still open: " + simulation.firstOpen());
        Map<String, Long> kinds = simulation.countsByOutcome();
        assertTrue(kinds.getOrDefault("accepted", 0L) >= minAccepted, kinds.toString());
    }

    @Then("nothing that must never happen has happened")
    public void assertNoViolations() {
        assertEquals(List.of(), simulation.violations());
    }
}
