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

/**
 * The configuration in force on this node; it is only handed out while its view is proven to be fresh. (docs/design.md,
 * section 7.2)
 */
public final class ConfigurationView {
    private static final Logger LOG = LogManager.getLogger(ConfigurationView.class);
    /**
     * Burst size of a delivery bucket, in seconds of its rate; it keeps the deliveries of any 5 s within a tenth of the
     * rate. (docs/design.md, section 8.3)
     */
    private static final double DELIVERY_BURST_S = 0.4;

    /** A parsed configuration with the indexes that requests are looked up in. */
    public record IndexedConfiguration(
            long version,
            Configuration configuration,
            Map<String, Configuration.Key> keysByHash,
            Map<String, RateLimit> rateLimits,
            Map<String, TreeMap<String, String>> lanesByHost) {
        /** Returns the key with the given secret, if the configuration has it. */
        public Optional<Configuration.Key> key(String secret) {
            return Optional.ofNullable(keysByHash.get(Configurations.sha256(secret)));
        }

        /**
         * Returns the lane whose route has the host and the longest matching path prefix. (docs/design.md, section
         * 9.12)
         */
        public Optional<String> laneFor(String host, String path) {
            TreeMap<String, String> byPrefix = lanesByHost.getOrDefault(host, new TreeMap<>());
            return byPrefix.entrySet().stream()
                    .filter(entry -> path.startsWith(entry.getKey()))
                    .max(Comparator.comparingInt(entry -> entry.getKey().length()))
                    .map(Map.Entry::getValue);
        }
    }

    private final ViewSubscriptions subscriptions;
    private volatile IndexedConfiguration current = index(0, new byte[0]);

    /** A configuration view that follows the subscriptions of one node. */
    public ConfigurationView(ViewSubscriptions subscriptions) {
        this.subscriptions = subscriptions;
        subscriptions.onView((service, view) -> {
            if (service.equals(ServiceNames.CONFIGURATION)) {
                update(view);
            }
        });
    }

    private synchronized IndexedConfiguration update(ServiceView view) {
        if (view.configurationVersion() > current.version()) {
            current = index(view.configurationVersion(), view.configuration());
            LOG.info("Configuration {} is in force here.", view.configurationVersion());
        }
        return current;
    }

    private static IndexedConfiguration index(long version, byte[] json) {
        Configuration configuration = Configuration.empty();
        try {
            configuration = json.length == 0 ? configuration : Configurations.readAccepted(json);
        } catch (ServiceException failure) {
            LOG.error("Configuration {} is unreadable here: {}", version, failure.details());
        }
        Map<String, Configuration.Key> keys = new HashMap<>();
        configuration.keys().values().forEach(key -> keys.put(key.sha256(), key));
        Map<String, RateLimit> rateLimits = new TreeMap<>();
        configuration
                .tenants()
                .forEach((name, tenant) -> rateLimits.put(
                        ServiceNames.tenantBucket(name), new RateLimit(tenant.ratePerS(), tenant.burstSize())));
        configuration
                .services()
                .forEach((name, service) -> deliveryBucketName(name, service)
                        .ifPresent(bucket -> rateLimits.put(
                                bucket,
                                new RateLimit(
                                        service.ratePerS(), Math.max(1, service.ratePerS() * DELIVERY_BURST_S)))));
        Map<String, TreeMap<String, String>> lanesByHost = new HashMap<>();
        configuration
                .lanes()
                .forEach((name, lane) -> lane.doors()
                        .forEach(route -> lanesByHost
                                .computeIfAbsent(route.host(), host -> new TreeMap<>())
                                .put(route.prefix(), name)));
        return new IndexedConfiguration(version, configuration, keys, rateLimits, lanesByHost);
    }

    /** Returns the configuration in force, or empty while the view on this node is too old. */
    public Optional<IndexedConfiguration> fresh() {
        return subscriptions
                .fresh(ServiceNames.CONFIGURATION)
                .map(view -> view.configurationVersion() == current.version() ? current : update(view));
    }

    /** Returns the configuration in force; fails with STALE_VIEW while the view on this node is too old. */
    public IndexedConfiguration requireFresh() throws ServiceException {
        return fresh().orElseThrow(() -> new StaleViewException("This node is not in touch with the core."));
    }

    /** Returns the name of the bucket that limits deliveries to a service, or empty if they are not limited. */
    private static Optional<String> deliveryBucketName(String name, Configuration.Service service) {
        return service.ratePerS() <= 0
                ? Optional.empty()
                : Optional.of(
                        service.kind() == Configuration.Kind.ENDPOINT
                                ? ServiceNames.endpointBucket(service.address())
                                : "fetch/" + name);
    }

    /**
     * Returns the name of the delivery bucket of a service: the outer value is empty while no configuration is proven
     * fresh, the inner one if the service is unknown or has no rate limit.
     */
    public Optional<Optional<String>> deliveryBucket(String service) {
        return fresh().map(fresh -> Optional.ofNullable(
                        fresh.configuration().services().get(service))
                .flatMap(s -> deliveryBucketName(service, s)));
    }

    /** Returns the rate limit of a bucket; empty if the configuration has none or is not proven fresh. */
    public Optional<RateLimit> admissionLimit(String bucket) {
        return fresh().flatMap(fresh -> Optional.ofNullable(fresh.rateLimits().get(bucket)));
    }

    /** Returns the names of all shared buckets that the latest configuration defines. */
    public Set<String> bucketNames() {
        return current.rateLimits().keySet();
    }
}
