package org.woadvale.dataplane;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.discovery.ViewSubscriptions;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.StaleViewException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.ratelimit.RateLimit;

/** The configuration as this node may use it: only while its age is proven. (docs/design.md, section 7.2) */
public final class ConfigurationView {
    private static final Logger LOG = LogManager.getLogger(ConfigurationView.class);
    /**
     * A leaving bucket's burst, in seconds of its rate: any 5 s stay within a tenth of the rate. (docs/design.md,
     * section 8.3)
     */
    private static final double DELIVERY_BURST_S = 0.4;

    /** A configuration, read once. */
    public record IndexedConfiguration(
            long version,
            Configuration configuration,
            Map<String, Configuration.Key> keysByHash,
            Map<String, RateLimit> rateLimits,
            Map<String, TreeMap<String, String>> lanesByHost) {
        /** The key with a secret, if the configuration has it. */
        public Optional<Configuration.Key> key(String secret) {
            return Optional.ofNullable(keysByHash.get(Configurations.sha256(secret)));
        }

        /** The lane whose door has the host and the longest beginning of the path. (docs/design.md, section 9.12) */
        public Optional<String> laneFor(String host, String path) {
            TreeMap<String, String> byPrefix = lanesByHost.getOrDefault(host, new TreeMap<>());
            return byPrefix.entrySet().stream()
                    .filter(entry -> path.startsWith(entry.getKey()))
                    .max(Comparator.comparingInt(entry -> entry.getKey().length()))
                    .map(Map.Entry::getValue);
        }
    }

    private final ViewSubscriptions subscriptions;
    private volatile IndexedConfiguration known = read(0, new byte[0]);

    /** The configuration as the subscription of this node has it. */
    public ConfigurationView(ViewSubscriptions subscriptions) {
        this.subscriptions = subscriptions;
        subscriptions.onView((service, view) -> {
            if (service.equals(ServiceNames.CONFIGURATION)) {
                onView(view);
            }
        });
    }

    private synchronized IndexedConfiguration onView(ServiceView view) {
        if (view.configurationVersion() > known.version()) {
            known = read(view.configurationVersion(), view.configuration());
            LOG.info("Configuration {} is in force here.", view.configurationVersion());
        }
        return known;
    }

    private static IndexedConfiguration read(long version, byte[] json) {
        Configuration configuration = Configuration.empty();
        try {
            configuration = json.length == 0 ? configuration : Configurations.readAccepted(json);
        } catch (ServiceException failure) {
            LOG.error("Configuration {} is unreadable here: {}", version, failure.details());
        }
        Map<String, Configuration.Key> keys = new HashMap<>();
        configuration.keys().values().forEach(key -> keys.put(key.sha256(), key));
        Map<String, RateLimit> allowances = new TreeMap<>();
        configuration
                .tenants()
                .forEach((n, tenant) -> allowances.put(
                        ServiceNames.tenantBucket(n), new RateLimit(tenant.ratePerS(), tenant.burstSize())));
        configuration
                .services()
                .forEach((n, service) -> deliveryLimit(n, service)
                        .ifPresent(b -> allowances.put(
                                b,
                                new RateLimit(
                                        service.ratePerS(), Math.max(1, service.ratePerS() * DELIVERY_BURST_S)))));
        Map<String, TreeMap<String, String>> doors = new HashMap<>();
        configuration
                .lanes()
                .forEach((n, lane) -> lane.doors()
                        .forEach(door -> doors.computeIfAbsent(door.host(), h -> new TreeMap<>())
                                .put(door.prefix(), n)));
        return new IndexedConfiguration(version, configuration, keys, allowances, doors);
    }

    /** The configuration in force; empty while what is known here is too old. */
    public Optional<IndexedConfiguration> fresh() {
        return subscriptions
                .fresh(ServiceNames.CONFIGURATION)
                .map(view -> view.configurationVersion() == known.version() ? known : onView(view));
    }

    /** The configuration in force; fails with STALE_VIEW while what is known here is too old. */
    public IndexedConfiguration requireFresh() throws ServiceException {
        return fresh().orElseThrow(() -> new StaleViewException("This node is not in touch with the core."));
    }

    /** The bucket that paces a service; empty where it is not paced. */
    private static Optional<String> deliveryLimit(String name, Configuration.Service service) {
        return service.ratePerS() <= 0
                ? Optional.empty()
                : Optional.of(
                        service.kind() == Configuration.Kind.ENDPOINT
                                ? ServiceNames.endpointBucket(service.address())
                                : "fetch/" + name);
    }

    /** The same by the configuration that is proven fresh; all empty where none is. */
    public Optional<Optional<String>> deliveryBucket(String service) {
        return fresh().map(known -> Optional.ofNullable(
                        known.configuration().services().get(service))
                .flatMap(s -> deliveryLimit(service, s)));
    }

    /** The allowance behind a bucket's name; empty where the configuration has none or is not proven fresh. */
    public Optional<RateLimit> admissionLimit(String bucket) {
        return fresh().flatMap(known -> Optional.ofNullable(known.rateLimits().get(bucket)));
    }

    /** Every shared bucket that the latest configuration calls for. */
    public Set<String> bucketNames() {
        return known.rateLimits().keySet();
    }
}
