package org.woadvale.testkit.stub;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.woadvale.common.config.Configuration;

/** Changes of a configuration by the operator. */
public final class Edit {
    private Edit() {}

    private static <V> Map<String, V> changed(Map<String, V> m, Consumer<Map<String, V>> c) {
        Map<String, V> out = new TreeMap<>(m);
        c.accept(out);
        return out;
    }

    public static Configuration tenant(Configuration l, String name, double rate, int burst) {
        return new Configuration(
                changed(l.tenants(), m -> m.put(name, new Configuration.Tenant(rate, burst))),
                l.services(),
                l.lanes(),
                l.keys());
    }

    public static Configuration services(Configuration l, Consumer<Map<String, Configuration.Service>> c) {
        return new Configuration(l.tenants(), changed(l.services(), c), l.lanes(), l.keys());
    }

    public static Configuration lanes(Configuration l, Consumer<Map<String, Configuration.Lane>> c) {
        return new Configuration(l.tenants(), l.services(), changed(l.lanes(), c), l.keys());
    }

    public static Configuration keys(Configuration l, Consumer<Map<String, Configuration.Key>> c) {
        return new Configuration(l.tenants(), l.services(), l.lanes(), changed(l.keys(), c));
    }

    public static Configuration.Service rate(Configuration.Service s, double rate) {
        return new Configuration.Service(s.kind(), s.address(), rate);
    }

    public static Configuration.Lane service(Configuration.Lane l, String service) {
        return new Configuration.Lane(
                service, l.ordering(), l.timeLimitMs(), l.attempts(), l.attemptMs(), l.ifUnclear());
    }

    public static Configuration.Lane limits(Configuration.Lane l, long timeLimitMs, int attempts) {
        return new Configuration.Lane(l.service(), l.ordering(), timeLimitMs, attempts, l.attemptMs(), l.ifUnclear());
    }
}
