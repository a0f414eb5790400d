package org.woadvale.testkit.capacity;

import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.controlplane.api.ControlApiMessages;
import org.woadvale.testkit.stub.TestConfiguration;

/**
 * Changes the configuration and the processor list of a {@link HollowFleet}. A change that fails is not retried.
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

    /** The version of the last accepted change; zero before the first. */
    long configurationVersion() {
        return configurationVersion;
    }

    /** The number of processor updates that were accepted. */
    int processorsPut() {
        return processorsPut;
    }

    /** Stores a new configuration that differs from the previous one only in the tenants' burst size. */
    void changeConfiguration() {
        int burst = (int) (RATE + changes);
        byte[] json = Configurations.write(new TestConfiguration(tenants, 0, RATE, burst, 1).configuration(name -> ""));
        ControlMessages.PutConfiguration put =
                new ControlMessages.PutConfiguration("change" + changes++, configurationVersion, json, "capacity");
        core.ask(
                        ServiceNames.controlPartition(ServiceNames.CONFIGURATION),
                        new ControlApiMessages.PutConfigurationRequest(put),
                        ControlMessages.ConfigurationAccepted.class)
                .subscribe(accepted -> configurationVersion = accepted.version(), error -> {});
    }

    /** Registers the processor with this number, or updates whether it is leaving. */
    void putProcessor(int number, boolean leaving) {
        String list = HollowFleet.PROCESSOR_LIST;
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
