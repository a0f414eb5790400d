package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.ConfigurationStub;
import org.woadvale.testkit.stub.ObservationLog;
import org.woadvale.testkit.stub.Rules;

/** A simulated fleet behind the platform's interfaces with its clients, processors and operator. */
public final class PlatformSimulation {
    static final String HOST = "lode.example";
    private static final Duration PROCESSOR_LIST_LAG = Duration.ofMillis(800);
    private static final double PROCESSOR_LIST_RATE_PER_S = 44;
    private static final double TENANT_RATE_PER_S = 25;

    public final SimulatedPlatformFleet network;
    public final ObservationLog observations = new ObservationLog();
    final ProcessorList processorList;
    final LoadBalancer entry;
    final OperatorSimulation operator;
    final PlatformClients clients;
    final Map<String, ScriptedProcessor> processors = new LinkedHashMap<>();
    final Map<String, PullingProcessor> pullers = new LinkedHashMap<>();
    private final Map<String, ScriptedProcessor.DeduplicationTable> deduplicationTables = new TreeMap<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private int nextInstance;

    public PlatformSimulation(long seed, int intakes, int stores, FleetOverrides overrides) throws ServiceException {
        network = new SimulatedPlatformFleet(seed, intakes, stores, overrides);
        processorList = new ProcessorList(network.sim, PROCESSOR_LIST_LAG, PROCESSOR_LIST_RATE_PER_S);
        network.setProcessorListSource(processorList::page);
        entry = new LoadBalancer(network);
        operator = new OperatorSimulation(network, observations, configurationStub());
        clients = new PlatformClients(network, entry, operator, observations);
        network.processorNetwork.onResponseRead((request, response) -> {
            if (response.status() / 100 == 2 && response.headers().containsKey("X-Server-Seal")) {
                observations.read.add(
                        new ObservationLog.Read(request.headers().getOrDefault("x-attempt-id", ""), network.sim.now()));
            }
        });
    }

    static ConfigurationStub configurationStub() {
        List<ConfigurationStub.Route> routes = List.of(
                route("hold", "desk", false, 3),
                route("accept", "book", true, 4),
                route("check", "far", false, 3),
                route("turn", "desk", true, 3),
                route("open", "plain", false, 3));
        List<ConfigurationStub.Service> services = List.of(
                new ConfigurationStub.Service("desk", 0, 100, false, true, Optional.empty()),
                new ConfigurationStub.Service("book", 0, 100, true, false, Optional.empty()),
                new ConfigurationStub.Service("plain", 0, 100, false, false, Optional.empty()),
                new ConfigurationStub.Service("far", 12, 24, true, false, Optional.of("172.20.0.3:8748")));
        List<ConfigurationStub.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            tenants.add(new ConfigurationStub.Tenant(
                    "tenant" + i, List.of("key" + i, "spare" + i), TENANT_RATE_PER_S, TENANT_RATE_PER_S));
        }
        return new ConfigurationStub(2, routes, services, tenants);
    }

    private static ConfigurationStub.Route route(String name, String service, boolean inOrder, int attempts) {
        return new ConfigurationStub.Route(name, HOST, "/" + name + "/", service, 1500, attempts, inOrder, 90, false);
    }

    /** Sends the initial configuration, starts the processors and waits until the fleet is ready. */
    public PlatformSimulation startAll() {
        operator.putInitial();
        for (int i = 0; i < 3; i++) {
            processor("book", "10.9.0." + i + ":8080");
            processor("plain", "10.9.1." + i + ":8080");
            puller();
        }
        processors.put(
                "far",
                place(
                        new ScriptedProcessor(network, observations, "far", "far", 6, deduplicationTable("far"), true),
                        "172.20.0.3:8748"));
        FleetSimulation.require(
                network.sim.runUntil(network::ready, Duration.ofSeconds(40)),
                "the fleet did not become ready within 40 s");
        network.sim.run(Duration.ofSeconds(2));
        return this;
    }

    private ScriptedProcessor.DeduplicationTable deduplicationTable(String service) {
        return deduplicationTables.computeIfAbsent(service, s -> new ScriptedProcessor.DeduplicationTable());
    }

    private ScriptedProcessor place(ScriptedProcessor processor, String address) {
        network.processorNetwork.place(address, processor::handle);
        addresses.put(processor.id(), address);
        return processor;
    }

    ScriptedProcessor processor(String service, String address) {
        String id = "i-" + nextInstance++;
        ScriptedProcessor processor = place(
                new ScriptedProcessor(
                        network, observations, id, service, 6, deduplicationTable(service), service.equals("book")),
                address);
        processors.put(id, processor);
        processorList.put(id, service, address, 6, "ready");
        return processor;
    }

    PullingProcessor puller() {
        String id = "p-" + nextInstance++;
        PullingProcessor puller = new PullingProcessor(network, entry, observations, id, "desk").start(4);
        pullers.put(id, puller);
        return puller;
    }

    /** Stops a processor at once: it stays on the list for 3 s, and a successor takes its address after 5 s. */
    void crash(ScriptedProcessor processor) {
        processor.crash();
        processors.remove(processor.id());
        String address = addresses.get(processor.id());
        network.processorNetwork.remove(address);
        network.sim.after(Duration.ofSeconds(3), () -> processorList.drop(processor.id()));
        network.sim.after(Duration.ofSeconds(5), () -> processor(processor.service(), address));
    }

    /** Stops a processor without notice; a processor of another service takes its address at once. */
    void replaceAtSameAddress(ScriptedProcessor processor, String service) {
        processor.crash();
        processors.remove(processor.id());
        processor(service, addresses.get(processor.id()));
        network.sim.after(Duration.ofSeconds(3), () -> processorList.drop(processor.id()));
    }

    /** Shuts a processor down as planned: it is listed as draining, still serves for 4.5 s, and is then removed. */
    void leave(ScriptedProcessor processor) {
        processors.remove(processor.id());
        String address = addresses.get(processor.id());
        observations.draining.add(new ObservationLog.Draining(
                processor.id(), processorList.put(processor.id(), processor.service(), address, 6, "draining")));
        network.sim.after(Duration.ofMillis(4500), () -> {
            processor.crash();
            network.processorNetwork.remove(address);
            processorList.drop(processor.id());
        });
        processor(processor.service(), address + "1");
    }

    /** Ends the run: reads all accepted messages, then the configuration, and returns the rules that were broken. */
    public List<String> end(Duration completion) {
        clients.stop();
        network.sim.run(completion);
        FleetSimulation.require(
                network.sim.runUntil(operator::idle, Duration.ofSeconds(30)),
                "the operator received no conclusive response within 30 s");
        clients.readAccepted();
        network.sim.run(Duration.ofSeconds(12));
        operator.read();
        network.sim.run(Duration.ofSeconds(3));
        return new Rules(observations).violations();
    }

    public Map<Integer, Integer> answers() {
        return clients.answers();
    }
}
