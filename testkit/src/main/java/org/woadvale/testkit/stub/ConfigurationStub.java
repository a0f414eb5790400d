package org.woadvale.testkit.stub;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;

/** A configuration as the platform's operator writes it. docs/platform.md 3 */
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

    public ConfigurationStub routes(List<Route> other) {
        return new ConfigurationStub(configRevision, List.copyOf(other), services, tenants);
    }

    public ConfigurationStub tenants(List<Tenant> other) {
        return new ConfigurationStub(configRevision, routes, services, List.copyOf(other));
    }

    /** The route whose host is the one and whose prefix is the longest that begins the path. */
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
        List<Object> r = new ArrayList<>();
        routes.forEach(route -> r.add(fields(route)));
        List<Object> s = new ArrayList<>();
        services.forEach(service -> s.add(fields(service)));
        out.put("routes", r);
        out.put("services", s);
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
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("name", route.name());
        f.put("host", route.host());
        f.put("pathPrefix", route.pathPrefix());
        f.put("routeClass", "deferred");
        f.put("timeoutMs", route.timeoutMs());
        f.put("targetLatencyMs", 100);
        f.put("priority", 1);
        f.put("service", route.service());
        f.put("maxAttempts", route.maxAttempts());
        f.put("inOrder", route.inOrder());
        f.put("retentionS", route.retentionS());
        f.put("callbackUri", false);
        f.put("startTargetMs", 800);
        f.put("keyless", route.keyless());
        return f;
    }

    private static Map<String, Object> fields(Service service) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("name", service.name());
        f.put("healthPath", "/health");
        f.put("maxConnections", service.maxConnections());
        f.put("protocol", "h1");
        f.put("tlsMode", false);
        f.put("ratePerS", service.ratePerS());
        f.put("selfDedup", service.selfDedup());
        f.put("pullMode", service.pullMode());
        f.put("fixedEndpoint", service.fixedEndpoint().orElse(null));
        return f;
    }
}
