package org.woadvale.testkit.stub;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;

/** A configuration in the format that the platform's operator submits (docs/platform.md, section 3). */
public record ConfigurationStub(long configRevision, List<Route> routes, List<Service> services, List<Tenant> tenants) {
    public record Route(
            String name,
            String host,
            String pathPrefix,
            String service,
            long timeoutMs,
            int maxAttempts,
            boolean inOrder,
            double retentionS,
            boolean keyless) {}

    public record Service(
            String name,
            double ratePerS,
            int maxConnections,
            boolean selfDedup,
            boolean pullMode,
            Optional<String> fixedEndpoint) {}

    public record Tenant(String name, List<String> accessKeys, double ratePerS, double burstSize) {}

    public ConfigurationStub with(long revision) {
        return new ConfigurationStub(revision, routes, services, tenants);
    }

    public ConfigurationStub routes(List<Route> newRoutes) {
        return new ConfigurationStub(configRevision, List.copyOf(newRoutes), services, tenants);
    }

    public ConfigurationStub tenants(List<Tenant> newTenants) {
        return new ConfigurationStub(configRevision, routes, services, List.copyOf(newTenants));
    }

    /** The route of the host with the longest path prefix that matches the path. */
    public Optional<Route> route(String host, String path) {
        return routes.stream()
                .filter(route -> route.host().equals(host) && path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    public Optional<Tenant> tenant(String key) {
        return tenants.stream()
                .filter(tenant -> tenant.accessKeys().contains(key))
                .findFirst();
    }

    public String text() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("configRevision", configRevision);
        List<Object> routeFields = new ArrayList<>();
        routes.forEach(route -> routeFields.add(fields(route)));
        List<Object> serviceFields = new ArrayList<>();
        services.forEach(service -> serviceFields.add(fields(service)));
        out.put("routes", routeFields);
        out.put("services", serviceFields);
        out.put("limits", Map.of("maxBodyBytes", 262144));
        out.put(
                "tenants",
                tenants.stream()
                        .map(tenant -> Map.of(
                                "name",
                                tenant.name(),
                                "accessKeys",
                                tenant.accessKeys(),
                                "priority",
                                1,
                                "ratePerS",
                                tenant.ratePerS(),
                                "burstSize",
                                tenant.burstSize()))
                        .toList());
        return new String(Configurations.write(out), StandardCharsets.UTF_8);
    }

    private static Map<String, Object> fields(Route route) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", route.name());
        fields.put("host", route.host());
        fields.put("pathPrefix", route.pathPrefix());
        fields.put("routeClass", "deferred");
        fields.put("timeoutMs", route.timeoutMs());
        fields.put("targetLatencyMs", 100);
        fields.put("priority", 1);
        fields.put("service", route.service());
        fields.put("maxAttempts", route.maxAttempts());
        fields.put("inOrder", route.inOrder());
        fields.put("retentionS", route.retentionS());
        fields.put("callbackUri", false);
        fields.put("startTargetMs", 800);
        fields.put("keyless", route.keyless());
        return fields;
    }

    private static Map<String, Object> fields(Service service) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", service.name());
        fields.put("healthPath", "/health");
        fields.put("maxConnections", service.maxConnections());
        fields.put("protocol", "h1");
        fields.put("tlsMode", false);
        fields.put("ratePerS", service.ratePerS());
        fields.put("selfDedup", service.selfDedup());
        fields.put("pullMode", service.pullMode());
        fields.put("fixedEndpoint", service.fixedEndpoint().orElse(null));
        return fields;
    }
}
