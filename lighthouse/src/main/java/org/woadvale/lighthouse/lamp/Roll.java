package org.woadvale.lighthouse.lamp;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.foundation.chart.Charts;
import org.woadvale.foundation.chart.Layout;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.keeper.Replica;
import org.woadvale.foundation.lantern.Component;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.Schedule;
import org.woadvale.foundation.watch.Asks;
import org.woadvale.foundation.watch.Places;
import org.woadvale.foundation.watch.Processor;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The owner of part c0 reads the registry for all; whole lists are written, and only where they differ. design 6.7 */
public final class Roll implements Component {
    private static final Logger LOG = LogManager.getLogger("watch");
    private final Env env;
    private final LampNode node;
    private final Registry registry;
    private final Duration period;
    private final AtomicBoolean asking = new AtomicBoolean();
    private Schedule looking = () -> { };
    private boolean troubled;

    public Roll(Env env, LampNode node, Registry registry, Duration period) {
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

    /** Services that have a list; none as long as no layout was taken. */
    private Set<String> listed() {
        byte[] json = node.replica("c0").look(i -> node.machine("c0").service(Places.LAYOUT)).layout();
        Set<String> out = new TreeSet<>();
        if (json.length > 0) {
            try {
                Charts.taken(json).services().forEach((n, s) -> {
                    if (s.kind() == Layout.Kind.PROCESSORS) {
                        out.add(n);
                    }
                });
            } catch (Fault e) {
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
        registry.list().flatMapMany(all -> {
            troubled = false;
            return Flux.fromIterable(services)
                .flatMap(s -> take(s, all.getOrDefault(s, Map.of())));
        }).doFinally(x -> asking.set(false)).subscribe(ok -> { }, this::trouble);
    }

    private void trouble(Throwable e) {
        if (!troubled) {
            LOG.warn("watch: the registry of processors cannot be read: {}", Fault.of(e).getMessage());
        }
        troubled = true;
    }

    /** Of two readings the later is written last: one is under way at a time, and by the owner of c0 only. */
    private Mono<Boolean> take(String service, Map<String, Processor> list) {
        String key = Places.processors(service);
        return node.ask(Places.controlPart(key), new Operators.ProcessorsGet(key), Operators.Processors.class)
            .flatMap(p -> {
                if (p.processors().equals(list) || !mine()) {
                    return Mono.just(true);
                }
                return node.ask(Places.controlPart(key), new Asks.PutProcessors(key, new HashMap<>(list), p.version() + 1),
                    Asks.Done.class).map(Asks.Done::ok);
            });
    }
}
