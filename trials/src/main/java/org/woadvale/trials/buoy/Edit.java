package org.woadvale.trials.buoy;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.woadvale.foundation.chart.Layout;

/** Changes of a layout by the head office. */
public final class Edit {
    private Edit() { }

    private static <V> Map<String, V> changed(Map<String, V> m, Consumer<Map<String, V>> c) {
        Map<String, V> out = new TreeMap<>(m);
        c.accept(out);
        return out;
    }

    public static Layout tenant(Layout l, String name, double rate, int burst) {
        return new Layout(changed(l.tenants(), m -> m.put(name, new Layout.Tenant(rate, burst))), l.services(), l.lanes(),
            l.keys());
    }

    public static Layout services(Layout l, Consumer<Map<String, Layout.Service>> c) {
        return new Layout(l.tenants(), changed(l.services(), c), l.lanes(), l.keys());
    }

    public static Layout lanes(Layout l, Consumer<Map<String, Layout.Lane>> c) {
        return new Layout(l.tenants(), l.services(), changed(l.lanes(), c), l.keys());
    }

    public static Layout keys(Layout l, Consumer<Map<String, Layout.Key>> c) {
        return new Layout(l.tenants(), l.services(), l.lanes(), changed(l.keys(), c));
    }

    public static Layout.Service rate(Layout.Service s, double rate) {
        return new Layout.Service(s.kind(), s.address(), rate);
    }

    public static Layout.Lane service(Layout.Lane l, String service) {
        return new Layout.Lane(service, l.ordering(), l.timeLimitMs(), l.attempts(), l.attemptMs(), l.ifUnclear());
    }

    public static Layout.Lane limits(Layout.Lane l, long timeLimitMs, int attempts) {
        return new Layout.Lane(l.service(), l.ordering(), timeLimitMs, attempts, l.attemptMs(), l.ifUnclear());
    }
}
