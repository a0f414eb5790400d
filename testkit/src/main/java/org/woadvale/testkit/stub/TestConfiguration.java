package org.woadvale.testkit.stub;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;

/** The configuration that the stand-ins play with: two processor groups, paced endpoints, eight tenants. */
public record TestConfiguration(int tenants, int endpoints, double ratePerS, int burst, double endpointRate) {
    public static final long TIME_LIMIT_MS = 60000;
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

    /** Plain, ordered, and one lane to each endpoint. */
    public List<String> lanes() {
        List<String> out = new ArrayList<>(List.of("hold", "accept"));
        for (int i = 0; i < endpoints; i++) {
            out.add("check" + i);
        }
        return out;
    }

    public Configuration configuration(IntFunction<String> endpointAddress) {
        Map<String, Configuration.Tenant> t = new TreeMap<>();
        Map<String, Configuration.Key> k = new TreeMap<>();
        for (int i = 0; i < tenants; i++) {
            t.put(tenant(i), new Configuration.Tenant(ratePerS, burst));
            k.put(
                    "key" + i,
                    new Configuration.Key(
                            Configuration.Role.CALLER, tenant(i), "", Configurations.sha256(callerKey(i))));
        }
        Map<String, Configuration.Service> s = new TreeMap<>();
        s.put(GROUP, new Configuration.Service(Configuration.Kind.PROCESSORS, "", 0));
        s.put(ORDERED_GROUP, new Configuration.Service(Configuration.Kind.PROCESSORS, "", 0));
        for (String group : List.of(GROUP, ORDERED_GROUP)) {
            k.put(
                    "fetch-" + group,
                    new Configuration.Key(
                            Configuration.Role.PROCESSOR, "", group, Configurations.sha256(fetchKey(group))));
        }
        Map<String, Configuration.Lane> l = new TreeMap<>();
        l.put(
                "hold",
                new Configuration.Lane(
                        GROUP,
                        Configuration.Ordering.NONE,
                        TIME_LIMIT_MS,
                        ATTEMPTS,
                        3000,
                        Configuration.UnknownOutcomePolicy.FAIL));
        l.put(
                "accept",
                new Configuration.Lane(
                        ORDERED_GROUP,
                        Configuration.Ordering.KEY,
                        TIME_LIMIT_MS,
                        ATTEMPTS,
                        3000,
                        Configuration.UnknownOutcomePolicy.FAIL));
        for (int i = 0; i < endpoints; i++) {
            s.put(
                    endpoint(i),
                    new Configuration.Service(Configuration.Kind.ENDPOINT, endpointAddress.apply(i), endpointRate));
            l.put(
                    "check" + i,
                    new Configuration.Lane(
                            endpoint(i),
                            Configuration.Ordering.NONE,
                            TIME_LIMIT_MS,
                            ATTEMPTS,
                            3000,
                            Configuration.UnknownOutcomePolicy.FAIL));
        }
        return new Configuration(t, s, l, k);
    }

    public void allow(Observations observations) {
        for (int i = 0; i < tenants; i++) {
            observations.allowed(tenant(i), new Observations.Limit(ratePerS, burst, Duration.ZERO, Duration.ZERO));
        }
        for (int i = 0; i < endpoints; i++) {
            observations.paced(endpoint(i), new Observations.Limit(endpointRate, 0, Duration.ZERO, Duration.ZERO));
        }
        lanes().forEach(l -> observations.lane(l, new Observations.LaneLimits(TIME_LIMIT_MS, ATTEMPTS)));
    }
}
