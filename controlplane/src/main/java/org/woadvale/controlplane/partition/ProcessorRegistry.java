package org.woadvale.controlplane.partition;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.common.replication.Replica;
import org.woadvale.common.runtime.Component;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The owner of part c0 reads the registry for all; whole lists are written, and only where they differ. design 6.7 */
public final class ProcessorRegistry implements Component {
    private static final Logger LOG = LogManager.getLogger("watch");
    private final Env env;
    private final ControlNode node;
    private final Registry registry;
    private final Duration period;
    private final AtomicBoolean asking = new AtomicBoolean();
    private TimerHandle looking = () -> {};
    private boolean troubled;

    public ProcessorRegistry(Env env, ControlNode node, Registry registry, Duration period) {
        this.env = env;
        this.node = node;
        this.registry = registry;
        this.period = period;
    }

    @Override
    public String name() {
        return "roll";
    }

    @Override
    public void start() {
        looking = env.schedules().every(period, this::look);
    }

    @Override
    public void stop() {
        looking.cancel();
    }

    private boolean mine() {
        Replica r = node.replica("c0");
        return r.mayAct();
    }

    /** Services that have a list; none as long as no configuration was taken. */
    private Set<String> listed() {
        byte[] json = node.replica("c0")
                .look(i -> node.machine("c0").service(ServiceNames.CONFIGURATION))
                .configuration();
        Set<String> out = new TreeSet<>();
        if (json.length > 0) {
            try {
                Configurations.taken(json).services().forEach((n, s) -> {
                    if (s.kind() == Configuration.Kind.PROCESSORS) {
                        out.add(n);
                    }
                });
            } catch (ServiceException e) {
                LOG.error("watch: the layout is unreadable here: {}", e.details());
            }
        }
        return out;
    }

    private void look() {
        if (!mine() || !asking.compareAndSet(false, true)) {
            return;
        }
        Set<String> services = listed();
        if (services.isEmpty()) {
            asking.set(false);
            return;
        }
        registry.list()
                .flatMapMany(all -> {
                    troubled = false;
                    return Flux.fromIterable(services).flatMap(s -> take(s, all.getOrDefault(s, Map.of())));
                })
                .doFinally(x -> asking.set(false))
                .subscribe(ok -> {}, this::trouble);
    }

    private void trouble(Throwable e) {
        if (!troubled) {
            LOG.warn(
                    "watch: the registry of processors cannot be read: {}",
                    ServiceException.of(e).getMessage());
        }
        troubled = true;
    }

    /** Of two readings the later is written last: one is under way at a time, and by the owner of c0 only. */
    private Mono<Boolean> take(String service, Map<String, Processor> list) {
        String key = ServiceNames.processors(service);
        return node.ask(ServiceNames.controlPart(key), new Operators.ProcessorsGet(key), Operators.Processors.class)
                .flatMap(p -> {
                    if (p.processors().equals(list) || !mine()) {
                        return Mono.just(true);
                    }
                    return node.ask(
                                    ServiceNames.controlPart(key),
                                    new ControlMessages.PutProcessors(
                                            key, new HashMap<>(list), p.version() + 1, ControlMessages.newRequestId()),
                                    ControlMessages.Done.class)
                            .map(ControlMessages.Done::ok);
                });
    }
}
