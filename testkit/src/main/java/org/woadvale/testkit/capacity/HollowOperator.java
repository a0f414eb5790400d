package org.woadvale.testkit.capacity;

import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Changes the configuration and the list of processors of a {@link HollowFleet}; a change that fails is not repeated.
 */
final class HollowOperator {
    private static final int RATE = 100_000;
    private static final int ADDRESSES_PER_NETWORK = 250;

    private final CoreClient core;
    private final int tenants;
    private long configurationVersion;
    private long changes;
    private int processorsPut;

    HollowOperator(CoreClient core, int tenants) {
        this.core = core;
        this.tenants = tenants;
    }

    /** The version of the last change that was taken; zero before the first. */
    long configurationVersion() {
        return configurationVersion;
    }

    /** How many puts of processors were taken. */
    int processorsPut() {
        return processorsPut;
    }

    /** One more configuration: the same but for the burst of all tenants. */
    void change() {
        int burst = (int) (RATE + changes);
        byte[] json = Configurations.write(new TestConfiguration(tenants, 0, RATE, burst, 1).configuration(name -> ""));
        ControlMessages.PutConfiguration put =
                new ControlMessages.PutConfiguration("change" + changes++, configurationVersion, json, "capacity");
        core.ask(
                        ServiceNames.controlPartition(ServiceNames.CONFIGURATION),
                        new ControlApiMessages.PutConfigurationRequest(put),
                        ControlMessages.ConfigurationAccepted.class)
                .subscribe(taken -> configurationVersion = taken.version(), error -> {});
    }

    /** Lists the processor of that number, or changes whether it is leaving. */
    void putProcessor(int number, boolean leaving) {
        String list = HollowFleet.LIST;
        String address = "http://10.200." + number / ADDRESSES_PER_NETWORK % ADDRESSES_PER_NETWORK + "."
                + number % ADDRESSES_PER_NETWORK + ":8080";
        Processor processor = new Processor(address, leaving);
        core.ask(
                        ServiceNames.controlPartition(list),
                        new ControlMessages.PutProcessor(list, "processor-" + number, processor, 0, 0),
                        ControlMessages.UpdateResult.class)
                .subscribe(done -> processorsPut++, error -> {});
    }
}
