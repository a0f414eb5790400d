package org.woadvale.controlplane.registry;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages.ControlCommand;
import org.woadvale.common.membership.ControlMessages.ControlResult;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.NodeEnvironment;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.controlplane.api.ProcessorListService;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Copies the processor lists from a source that has all of them. Only the leader of partition c0 reads the source; it
 * writes whole lists, and only those that differ.
 */
public final class ProcessorRegistry implements Component {
    private static final Logger LOG = LogManager.getLogger(ProcessorRegistry.class);
    private final NodeEnvironment environment;
    private final ControlNode node;
    private final ProcessorListService lists;
    private final ProcessorSource source;
    private final Duration period;
    private final AtomicBoolean reading = new AtomicBoolean();
    private TimerHandle tickTimer = () -> {};
    private boolean failing;

    /**
     * Creates the registry of one control node.
     *
     * @param period the time between two reads of the source
     */
    public ProcessorRegistry(NodeEnvironment environment, ControlNode node, ProcessorSource source, Duration period) {
        this.environment = environment;
        this.node = node;
        this.lists = new ProcessorListService(node);
        this.source = source;
        this.period = period;
    }

    @Override
    public String name() {
        return "processor registry";
    }

    @Override
    public void start() {
        tickTimer = environment.timers().every(period, this::onTick);
    }

    @Override
    public void stop() {
        tickTimer.cancel();
    }

    private boolean isLeader() {
        Replica<ControlCommand, ControlResult> replica = node.replica("c0");
        return replica.isActiveLeader();
    }

    /** The services that have a processor list; none while no configuration has been accepted. */
    private Set<String> listedServices() {
        byte[] configuration = node.replica("c0")
                .inspect(i -> node.stateMachine("c0").service(ServiceNames.CONFIGURATION))
                .configuration();
        Set<String> names = new TreeSet<>();
        if (configuration.length > 0) {
            try {
                Configurations.readAccepted(configuration).services().forEach((name, service) -> {
                    if (service.kind() == Configuration.Kind.PROCESSORS) {
                        names.add(name);
                    }
                });
            } catch (ServiceException failure) {
                LOG.error("The configuration cannot be read: {}", failure.details());
            }
        }
        return names;
    }

    private void onTick() {
        if (!isLeader() || !reading.compareAndSet(false, true)) {
            return;
        }
        Set<String> services = listedServices();
        if (services.isEmpty()) {
            reading.set(false);
            return;
        }
        source.list()
                .flatMapMany(all -> {
                    failing = false;
                    return Flux.fromIterable(services)
                            .flatMap(service -> update(service, all.getOrDefault(service, Map.of())));
                })
                .doFinally(signal -> reading.set(false))
                .subscribe(ok -> {}, this::onFailure);
    }

    private void onFailure(Throwable e) {
        if (!failing) {
            LOG.warn(
                    "The list of processors cannot be read: {}",
                    ServiceException.of(e).getMessage());
        }
        failing = true;
    }

    /**
     * Writes a list if it differs. Of two reads the later is written last, since only the leader of c0 reads, and one
     * read at a time.
     */
    private Mono<Boolean> update(String service, Map<String, Processor> list) {
        String internalName = ServiceNames.processors(service);
        return lists.get(internalName)
                .flatMap(read -> read.processors().equals(list) || !isLeader()
                        ? Mono.just(true)
                        : lists.replace(internalName, read, list));
    }
}
