package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;

/** The configuration of simulations and test fleets: tenants, two processor groups, and rate-limited endpoints. */
public record TestConfiguration(int tenants, int endpoints, double ratePerS, int burst, double endpointRate) {
    public static final long TIME_LIMIT_MS = 60000;
    private static final int ATTEMPT_MS = 3000;
    public static final int ATTEMPTS = 8;
    public static final String GROUP = "reserve";
    public static final String ORDERED_GROUP = "ledger";

    public static String callerKey(int tenant) {
        return "caller-secret-" + tenant;
    }

    public static String fetchKey(String group) {
        return "fetch-secret-" + group;
    }

    public static String tenant(int i) {
        return "tenant" + i;
    }

    public static String endpoint(int i) {
        return "registry" + i;
    }

    /** One unordered lane, one ordered lane, and one lane for each endpoint. */
    public List<String> lanes() {
        List<String> out = new ArrayList<>(List.of("hold", "accept"));
        for (int i = 0; i < endpoints; i++) {
            out.add("check" + i);
        }
        return out;
    }

    public Configuration configuration(IntFunction<String> endpointAddress) {
        Map<String, Configuration.Tenant> tenantMap = new TreeMap<>();
        Map<String, Configuration.Key> keyMap = new TreeMap<>();
        for (int i = 0; i < tenants; i++) {
            tenantMap.put(tenant(i), new Configuration.Tenant(ratePerS, burst));
            keyMap.put(
                    "key" + i,
                    new Configuration.Key(
                            Configuration.Role.CALLER, tenant(i), "", Configurations.sha256(callerKey(i))));
        }
        Map<String, Configuration.Service> serviceMap = new TreeMap<>();
        serviceMap.put(GROUP, new Configuration.Service(Configuration.Kind.PROCESSORS, "", 0));
        serviceMap.put(ORDERED_GROUP, new Configuration.Service(Configuration.Kind.PROCESSORS, "", 0));
        for (String group : List.of(GROUP, ORDERED_GROUP)) {
            keyMap.put(
                    "fetch-" + group,
                    new Configuration.Key(
                            Configuration.Role.PROCESSOR, "", group, Configurations.sha256(fetchKey(group))));
        }
        Map<String, Configuration.Lane> laneMap = new TreeMap<>();
        laneMap.put("hold", lane(GROUP, Configuration.Ordering.NONE));
        laneMap.put("accept", lane(ORDERED_GROUP, Configuration.Ordering.KEY));
        for (int i = 0; i < endpoints; i++) {
            serviceMap.put(
                    endpoint(i),
                    new Configuration.Service(Configuration.Kind.ENDPOINT, endpointAddress.apply(i), endpointRate));
            laneMap.put("check" + i, lane(endpoint(i), Configuration.Ordering.NONE));
        }
        return new Configuration(tenantMap, serviceMap, laneMap, keyMap);
    }

    private static Configuration.Lane lane(String service, Configuration.Ordering ordering) {
        return new Configuration.Lane(
                service, ordering, TIME_LIMIT_MS, ATTEMPTS, ATTEMPT_MS, Configuration.UnknownOutcomePolicy.FAIL);
    }

    public void allow(Observations observations) {
        for (int i = 0; i < tenants; i++) {
            observations.tenantLimit(tenant(i), new Observations.Limit(ratePerS, burst, Duration.ZERO, Duration.ZERO));
        }
        for (int i = 0; i < endpoints; i++) {
            observations.endpointLimit(
                    endpoint(i), new Observations.Limit(endpointRate, 0, Duration.ZERO, Duration.ZERO));
        }
        lanes().forEach(lane -> observations.lane(lane, new Observations.LaneLimits(TIME_LIMIT_MS, ATTEMPTS)));
    }
}
