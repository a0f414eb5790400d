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
        simulation.w.sim.run(Duration.ofSeconds(4));
    }

    @When("{int} seconds pass")
    public void runFor(int seconds) {
        simulation.w.sim.run(Duration.ofSeconds(seconds));
    }

    @When("an intake is killed")
    public void killIntake() {
        simulation.w.kill(simulation.w.intakes.get(0));
    }

    @When("the holder of an allowance is killed")
    public void killAllowanceHolder() {
        String holder = simulation.w.intakes.stream()
                .filter(intake -> simulation
                        .w
                        .dataPlaneNode(intake)
                        .ownedBuckets()
                        .contains("tenant/" + TestConfiguration.tenant(0)))
                .findFirst()
                .orElseThrow();
        simulation.w.kill(holder);
    }

    @When("a store loses power")
    public void losePowerOfStore() {
        simulation.w.host(simulation.w.stores.get(1)).powerLoss();
    }

    @When("a control node is killed")
    public void killControlNode() {
        simulation.w.kill(simulation.w.controlNodes.get(0));
    }

    @When("an intake is cut off")
    public void cutIntake() {
        simulation.w.net.cutOff(simulation.w.intakes.get(1));
    }

    @When("a store is cut off one way")
    public void cutStoreOneWay() {
        simulation.w.all().stream()
                .filter(host -> !host.equals(simulation.w.stores.get(0)))
                .forEach(host -> simulation.w.net.cutOneWay(simulation.w.stores.get(0), host));
    }

    @When("everything loses power and is restarted")
    public void restartEverythingAfterPowerLoss() throws ServiceException {
        simulation.w.all().forEach(host -> simulation.w.host(host).powerLoss());
        simulation.w.sim.run(Duration.ofSeconds(1));
        for (String host : simulation.w.all()) {
            simulation.w.restart(host);
        }
    }

    @When("a key is withdrawn while an intake is cut off")
    public void withdrawKeyWhileIntakeIsCut() {
        operator.withdraw();
        simulation.w.sim.run(Duration.ofMillis(1500));
        simulation.w.net.cutOff(simulation.w.intakes.get(2));
        simulation.w.sim.run(Duration.ofSeconds(12));
        assertTrue(!simulation.w.seen.keys.isEmpty(), "the key must have been withdrawn");
    }

    @When("two layouts race and a bad one comes along")
    public void submitCompetingLayouts() {
        long previousVersion = simulation.version;
        operator.race();
        operator.bad();
        simulation.w.sim.run(Duration.ofSeconds(3));
        assertEquals(previousVersion + 1, simulation.version, "exactly one of the two layouts must be accepted");
        simulation.read();
        operator.change();
    }

    @When("a processor is marked as leaving")
    public void markLeaving() {
        simulation.list("p0", true);
    }

    @When("back ends lose half of their answers")
    public void loseAnswers() {
        simulation.w.post.answerLoss(0.5);
    }

    @When("all is healed")
    public void heal() throws ServiceException {
        simulation.w.net.heal();
        simulation.w.post.answerLoss(0);
        for (String host : simulation.w.all()) {
            simulation.w.restart(host);
        }
        simulation.w.sim.run(Duration.ofSeconds(3));
    }

    @Then("at least {int} messages were accepted and every one has ended")
    public void assertAllEnded(int minAccepted) {
        assertTrue(simulation.settle(Duration.ofSeconds(120)), "still open: " + simulation.firstOpen());
        Map<String, Long> kinds = simulation.kinds();
        assertTrue(kinds.getOrDefault("accepted", 0L) >= minAccepted, kinds.toString());
    }

    @Then("nothing that must never happen has happened")
    public void assertNoViolations() {
        assertEquals(List.of(), simulation.violations());
    }
}
