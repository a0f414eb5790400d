package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** The steps of the features, on a simulated fleet with a fixed seed. */
public class NeverSteps {
    private static final long SEED = 42;
    private FleetSimulation v;
    private ConfigurationOperator operator;

    @Given("a fleet of {int} intakes and {int} stores under {int} messages a second")
    public void fleet(int intakes, int stores, int perSecond) throws ServiceException {
        v = new FleetSimulation(SEED, intakes, stores, 4).embark();
        operator = new ConfigurationOperator(v);
        v.traffic(perSecond);
        v.w.sim.run(Duration.ofSeconds(4));
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        v.w.sim.run(Duration.ofSeconds(seconds));
    }

    @When("an intake is killed")
    public void killIntake() {
        v.w.kill(v.w.intakes.get(0));
    }

    @When("the holder of an allowance is killed")
    public void killHolder() {
        String holder = v.w.intakes.stream()
                .filter(i -> v.w.pilot(i).ownedBuckets().contains("tenant/" + TestConfiguration.tenant(0)))
                .findFirst()
                .orElseThrow();
        v.w.kill(holder);
    }

    @When("a store loses power")
    public void powerLoss() {
        v.w.host(v.w.stores.get(1)).powerLoss();
    }

    @When("a lighthouse is killed")
    public void killLighthouse() {
        v.w.kill(v.w.lighthouses.get(0));
    }

    @When("an intake is cut off")
    public void cutIntake() {
        v.w.net.cutOff(v.w.intakes.get(1));
    }

    @When("a store is cut off one way")
    public void oneWay() {
        v.w.all().stream()
                .filter(h -> !h.equals(v.w.stores.get(0)))
                .forEach(h -> v.w.net.cutOneWay(v.w.stores.get(0), h));
    }

    @When("everything loses power and is restarted")
    public void outage() throws ServiceException {
        v.w.all().forEach(h -> v.w.host(h).powerLoss());
        v.w.sim.run(Duration.ofSeconds(1));
        for (String h : v.w.all()) {
            v.w.restart(h);
        }
    }

    @When("a key is withdrawn while an intake is cut off")
    public void withdraw() {
        operator.withdraw();
        v.w.sim.run(Duration.ofMillis(1500));
        v.w.net.cutOff(v.w.intakes.get(2));
        v.w.sim.run(Duration.ofSeconds(12));
        assertTrue(!v.w.seen.keys.isEmpty(), "the key must have been withdrawn");
    }

    @When("two layouts race and a bad one comes along")
    public void race() {
        long before = v.version;
        operator.race();
        operator.bad();
        v.w.sim.run(Duration.ofSeconds(3));
        assertEquals(before + 1, v.version, "exactly one of the two may win");
        v.read();
        operator.change();
    }

    @When("a processor is marked as leaving")
    public void leaving() {
        v.list("p0", true);
    }

    @When("back ends lose half of their answers")
    public void loseAnswers() {
        v.w.post.answerLoss(0.5);
    }

    @When("all is healed")
    public void heal() throws ServiceException {
        v.w.net.heal();
        v.w.post.answerLoss(0);
        for (String h : v.w.all()) {
            v.w.restart(h);
        }
        v.w.sim.run(Duration.ofSeconds(3));
    }

    @Then("at least {int} messages were accepted and every one has ended")
    public void ended(int least) {
        assertTrue(v.settle(Duration.ofSeconds(120)), "still open: " + v.firstOpen());
        Map<String, Long> kinds = v.kinds();
        assertTrue(kinds.getOrDefault("accepted", 0L) >= least, kinds.toString());
    }

    @Then("nothing that must never happen has happened")
    public void never() {
        assertEquals(List.of(), v.violations());
    }
}
