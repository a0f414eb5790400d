package org.woadvale.lighthouse.lamp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Since;
import org.woadvale.foundation.keeper.Machine;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.watch.Asks;
import org.woadvale.foundation.watch.Duty;
import org.woadvale.foundation.watch.Places;
import org.woadvale.foundation.watch.Processor;
import org.woadvale.foundation.watch.Seat;
import org.woadvale.foundation.watch.ServiceView;

/** The state of one control part: services by name, and in part 0 the layout. design 6 */
public final class LampMachine implements Machine {
    /** All of the machine, for views. */
    public record State(Map<String, ServiceView> services, List<LayoutLog.Step> steps,
                        @Since(2) List<LayoutLog.Known> known) { }

    private final Codec codec;
    private final Map<String, ServiceView> services = new TreeMap<>();
    private final LayoutLog layouts;

    /** The history of layouts has so many bytes at the most: a whole view must fit into a ring file. */
    public LampMachine(Codec codec, int historyBytes) {
        this.codec = codec;
        this.layouts = new LayoutLog(historyBytes);
    }

    public ServiceView service(String name) {
        return services.getOrDefault(name, ServiceView.blank(name));
    }

    public Map<String, ServiceView> services() {
        return new TreeMap<>(services);
    }

    public LayoutLog layouts() {
        return layouts;
    }

    @Override
    public Object apply(long index, Object c) {
        if (c instanceof Asks.PutSeat p) {
            Map<String, Seat> seats = new HashMap<>(service(p.service()).seats());
            seats.put(p.node(), p.seat());
            return seats(index, p.service(), seats);
        } else if (c instanceof Asks.DropSeat d) {
            Map<String, Seat> seats = new HashMap<>(service(d.service()).seats());
            if (seats.containsKey(d.node()) && seats.get(d.node()).incarnation().equals(d.incarnation())) {
                seats.remove(d.node());
                return seats(index, d.service(), seats);
            }
            return new Asks.Done(false);
        } else if (c instanceof Asks.PutProcessor p) {
            Map<String, Processor> m = new HashMap<>(service(p.service()).processors());
            m.put(p.id(), p.processor());
            return processors(index, p.service(), m, p.seen());
        } else if (c instanceof Asks.DropProcessor d) {
            Map<String, Processor> m = new HashMap<>(service(d.service()).processors());
            m.remove(d.id());
            return processors(index, d.service(), m, d.seen());
        } else if (c instanceof Asks.PutProcessors p) {
            return processors(index, p.service(), new HashMap<>(p.processors()), p.seen());
        } else if (c instanceof Asks.TakeDuty t) {
            return takeDuty(index, t);
        } else if (c instanceof Asks.ReleaseDuty d) {
            Duty now = service(d.service()).duty();
            if (now.holder().equals(d.node()) && now.term() == d.term()) {
                duty(index, d.service(), new Duty("", now.term(), d.level(), false));
                return new Asks.Done(true);
            }
            return new Asks.Done(false);
        } else if (c instanceof Asks.Place p) {
            return place(index, p);
        } else if (c instanceof Asks.PutCore p) {
            ServiceView v = service(Places.CORE);
            Set<String> now = Set.copyOf(v.placement().getOrDefault(Places.CORE, List.of()));
            if (!now.isEmpty() && !p.instead().isEmpty() && !now.equals(Set.copyOf(p.instead()))
                    && !now.equals(Set.copyOf(p.lighthouses()))) {
                return new Asks.Done(false);
            }
            services.put(Places.CORE, new ServiceView(Places.CORE, index, v.seats(), v.processors(), v.duty(),
                Map.of(Places.CORE, p.lighthouses()), v.layout(), v.layoutVersion()));
            return new Asks.Done(true);
        } else if (c instanceof Asks.PutLayout p) {
            return putLayout(index, p);
        }
        return new Fault(ErrorKind.BAD_REQUEST, "Unknown command " + c.getClass().getSimpleName() + ".");
    }

    private Object seats(long index, String service, Map<String, Seat> seats) {
        ServiceView v = service(service);
        services.put(service, new ServiceView(service, index, seats, v.processors(), v.duty(), v.placement(),
            v.layout(), v.layoutVersion()));
        return new Asks.Done(true);
    }

    private Object processors(long index, String service, Map<String, Processor> m, long seen) {
        ServiceView v = service(service);
        if (seen != 0 && seen != v.version() + 1) {
            return new Asks.Done(false);
        }
        services.put(service, new ServiceView(service, index, v.seats(), m, v.duty(), v.placement(),
            v.layout(), v.layoutVersion()));
        return new Asks.Done(true);
    }

    private void duty(long index, String service, Duty d) {
        ServiceView v = service(service);
        services.put(service, new ServiceView(service, index, v.seats(), v.processors(), d, v.placement(),
            v.layout(), v.layoutVersion()));
    }

    private Object takeDuty(long index, Asks.TakeDuty t) {
        Duty now = service(t.service()).duty();
        if (now.term() != t.expectedTerm()) {
            return new Asks.DutyReply(false, now);
        }
        // design 8.4: a crashed holder's level is lost; only a level given up by the holder itself is handed on
        Duty next = new Duty(t.node(), now.term() + 1, now.vacant() ? now.level() : 0,
            t.lapsed() && !now.vacant());
        duty(index, t.service(), next);
        return new Asks.DutyReply(true, next);
    }

    private Object place(long index, Asks.Place p) {
        ServiceView v = service(Places.STORES);
        if (v.version() != p.expectedVersion()) {
            return new Asks.Done(false);
        }
        services.put(Places.STORES, new ServiceView(Places.STORES, index, v.seats(), v.processors(), v.duty(),
            p.placement(), v.layout(), v.layoutVersion()));
        return new Asks.Done(true);
    }

    private Object putLayout(long index, Asks.PutLayout p) {
        Object out = layouts.put(p);
        if (out instanceof Asks.LayoutTaken t && !t.repeated()) {
            ServiceView v = service(Places.LAYOUT);
            services.put(Places.LAYOUT, new ServiceView(Places.LAYOUT, index, v.seats(), v.processors(), v.duty(),
                v.placement(), p.layout(), t.version()));
        }
        return out;
    }

    @Override
    public byte[] view() {
        return codec.write(new State(new HashMap<>(services), layouts.steps(), layouts.known()));
    }

    @Override
    public void restore(byte[] view) {
        try {
            State s = codec.read(view, State.class);
            services.clear();
            services.putAll(s.services());
            layouts.restore(s.steps(), s.known());
        } catch (Fault e) {
            throw new IllegalStateException("unreadable view", e);
        }
    }
}
