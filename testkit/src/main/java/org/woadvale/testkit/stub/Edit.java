package org.woadvale.testkit.stub;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.woadvale.common.config.Configuration;

/** Copies of a configuration with one part changed, as an operator would change it. */
public final class Edit {
    private Edit() {}

    private static <V> Map<String, V> changed(Map<String, V> original, Consumer<Map<String, V>> consumer) {
        Map<String, V> out = new TreeMap<>(original);
        consumer.accept(out);
        return out;
    }

    public static Configuration tenant(Configuration configuration, String name, double rate, int burst) {
        return new Configuration(
                changed(configuration.tenants(), m -> m.put(name, new Configuration.Tenant(rate, burst))),
                configuration.services(),
                configuration.lanes(),
                configuration.keys());
    }

    public static Configuration services(
            Configuration configuration, Consumer<Map<String, Configuration.Service>> consumer) {
        return new Configuration(
                configuration.tenants(),
                changed(configuration.services(), consumer),
                configuration.lanes(),
                configuration.keys());
    }

    public static Configuration lanes(Configuration configuration, Consumer<Map<String, Configuration.Lane>> consumer) {
        return new Configuration(
                configuration.tenants(),
                configuration.services(),
                changed(configuration.lanes(), consumer),
                configuration.keys());
    }

    public static Configuration keys(Configuration configuration, Consumer<Map<String, Configuration.Key>> consumer) {
        return new Configuration(
                configuration.tenants(),
                configuration.services(),
                configuration.lanes(),
                changed(configuration.keys(), consumer));
    }

    public static Configuration.Service rate(Configuration.Service service, double rate) {
        return new Configuration.Service(service.kind(), service.address(), rate);
    }

    public static Configuration.Lane service(Configuration.Lane lane, String service) {
        return new Configuration.Lane(
                service, lane.ordering(), lane.timeLimitMs(), lane.attempts(), lane.attemptMs(), lane.ifUnclear());
    }

    public static Configuration.Lane limits(Configuration.Lane lane, long timeLimitMs, int attempts) {
        return new Configuration.Lane(
                lane.service(), lane.ordering(), timeLimitMs, attempts, lane.attemptMs(), lane.ifUnclear());
    }
}
