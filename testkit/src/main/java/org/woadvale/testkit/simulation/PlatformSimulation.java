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

/** A fleet behind the platform's doors with everything that is around it there: clients, processors, operator. */
public final class PlatformSimulation {
    static final String HOST = "lode.example";
    private static final Duration LAG = Duration.ofMillis(800);
    private static final double LIST_RATE = 44;
    private static final double RATE = 25;

    public final SimulatedPlatformFleet network;
    public final ObservationLog seen = new ObservationLog();
    final ProcessorList processorList;
    final Entry entry;
    final OperatorSimulation operator;
    final PlatformClients clients;
    final Map<String, ScriptedProcessor> processors = new LinkedHashMap<>();
    final Map<String, Puller> pullers = new LinkedHashMap<>();
    private final Map<String, ScriptedProcessor.Table> tables = new TreeMap<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private int lives;

    public PlatformSimulation(long seed, int fronts, int stores, FleetOverrides seams) throws ServiceException {
        network = new SimulatedPlatformFleet(seed, fronts, stores, seams);
        processorList = new ProcessorList(network.sim, LAG, LIST_RATE);
        network.list(processorList::page);
        entry = new Entry(network);
        operator = new OperatorSimulation(network, seen, configurationStub());
        clients = new PlatformClients(network, entry, operator, seen);
        network.processorSimulation.onRead((request, response) -> {
            if (response.status() / 100 == 2 && response.headers().containsKey("X-Server-Seal")) {
                seen.read.add(
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
            tenants.add(new ConfigurationStub.Tenant("tenant" + i, List.of("key" + i, "spare" + i), RATE, RATE));
        }
        return new ConfigurationStub(2, routes, services, tenants);
    }

    private static ConfigurationStub.Route route(String name, String service, boolean inOrder, int attempts) {
        return new ConfigurationStub.Route(name, HOST, "/" + name + "/", service, 1500, attempts, inOrder, 90, false);
    }

    /** The first configuration, the processors, and readiness. */
    public PlatformSimulation startAll() {
        operator.begin();
        for (int i = 0; i < 3; i++) {
            processor("book", "10.9.0." + i + ":8080");
            processor("plain", "10.9.1." + i + ":8080");
            puller();
        }
        processors.put(
                "far",
                place(new ScriptedProcessor(network, seen, "far", "far", 6, table("far"), true), "172.20.0.3:8748"));
        FleetSimulation.require(
                network.sim.runUntil(network::ready, Duration.ofSeconds(40)), "the fleet did not get ready");
        network.sim.run(Duration.ofSeconds(2));
        return this;
    }

    private ScriptedProcessor.Table table(String service) {
        return tables.computeIfAbsent(service, s -> new ScriptedProcessor.Table());
    }

    private ScriptedProcessor place(ScriptedProcessor processor, String address) {
        network.processorSimulation.place(address, processor::take);
        addresses.put(processor.id(), address);
        return processor;
    }

    ScriptedProcessor processor(String service, String address) {
        String id = "i-" + lives++;
        ScriptedProcessor processor = place(
                new ScriptedProcessor(network, seen, id, service, 6, table(service), service.equals("book")), address);
        processors.put(id, processor);
        processorList.put(id, service, address, 6, "ready");
        return processor;
    }

    Puller puller() {
        String id = "p-" + lives++;
        Puller puller = new Puller(network, entry, seen, id, "desk").start(4);
        pullers.put(id, puller);
        return puller;
    }

    /** It is gone at once; the list shows it for some seconds more, and its address is another's soon. */
    void crash(ScriptedProcessor processor) {
        processor.die();
        processors.remove(processor.id());
        String address = addresses.get(processor.id());
        network.processorSimulation.leave(address);
        network.sim.after(Duration.ofSeconds(3), () -> processorList.drop(processor.id()));
        network.sim.after(Duration.ofSeconds(5), () -> processor(processor.service(), address));
    }

    /** It is gone without a word, and a processor of another service is at its address. */
    void moveIn(ScriptedProcessor gone, String service) {
        gone.die();
        processors.remove(gone.id());
        processor(service, addresses.get(gone.id()));
        network.sim.after(Duration.ofSeconds(3), () -> processorList.drop(gone.id()));
    }

    /** In order: shown as draining, served for a while, and gone. */
    void leave(ScriptedProcessor processor) {
        processors.remove(processor.id());
        String address = addresses.get(processor.id());
        seen.draining.add(new ObservationLog.Draining(
                processor.id(), processorList.put(processor.id(), processor.service(), address, 6, "draining")));
        network.sim.after(Duration.ofMillis(4500), () -> {
            processor.die();
            network.processorSimulation.leave(address);
            processorList.drop(processor.id());
        });
        processor(processor.service(), address + "1");
    }

    /** All accepted messages are asked for, again after each failure; then the operator reads. */
    public List<String> end(Duration completion) {
        clients.stop();
        network.sim.run(completion);
        FleetSimulation.require(
                network.sim.runUntil(operator::idle, Duration.ofSeconds(30)), "the operator got no clear answer");
        clients.askForAccepted();
        network.sim.run(Duration.ofSeconds(12));
        operator.read();
        network.sim.run(Duration.ofSeconds(3));
        return new Rules(seen).violations();
    }

    public Map<Integer, Integer> answers() {
        return clients.answers();
    }
}
