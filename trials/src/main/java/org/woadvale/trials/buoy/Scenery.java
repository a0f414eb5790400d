package org.woadvale.trials.buoy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.woadvale.foundation.chart.Charts;
import org.woadvale.foundation.chart.Layout;

/** The layout that the stand-ins play with: two processor groups, paced endpoints, eight tenants. */
public record Scenery(int tenants, int endpoints, double ratePerS, int burst, double endpointRate) {
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

    public Layout layout(java.util.function.IntFunction<String> endpointAddress) {
        Map<String, Layout.Tenant> t = new TreeMap<>();
        Map<String, Layout.Key> k = new TreeMap<>();
        for (int i = 0; i < tenants; i++) {
            t.put(tenant(i), new Layout.Tenant(ratePerS, burst));
            k.put("key" + i, new Layout.Key(Layout.Role.CALLER, tenant(i), "", Charts.sha256(callerKey(i))));
        }
        Map<String, Layout.Service> s = new TreeMap<>();
        s.put(GROUP, new Layout.Service(Layout.Kind.PROCESSORS, "", 0));
        s.put(ORDERED_GROUP, new Layout.Service(Layout.Kind.PROCESSORS, "", 0));
        for (String group : List.of(GROUP, ORDERED_GROUP)) {
            k.put("fetch-" + group, new Layout.Key(Layout.Role.PROCESSOR, "", group, Charts.sha256(fetchKey(group))));
        }
        Map<String, Layout.Lane> l = new TreeMap<>();
        l.put("hold", new Layout.Lane(GROUP, Layout.Ordering.NONE, TIME_LIMIT_MS, ATTEMPTS, 3000, Layout.IfUnclear.FAIL));
        l.put("accept", new Layout.Lane(ORDERED_GROUP, Layout.Ordering.KEY, TIME_LIMIT_MS, ATTEMPTS, 3000, Layout.IfUnclear.FAIL));
        for (int i = 0; i < endpoints; i++) {
            s.put(endpoint(i), new Layout.Service(Layout.Kind.ENDPOINT, endpointAddress.apply(i), endpointRate));
            l.put("check" + i, new Layout.Lane(endpoint(i), Layout.Ordering.NONE, TIME_LIMIT_MS, ATTEMPTS, 3000, Layout.IfUnclear.FAIL));
        }
        return new Layout(t, s, l, k);
    }

    public void allow(Sightings s) {
        for (int i = 0; i < tenants; i++) {
            s.allowed(tenant(i), new Sightings.Limit(ratePerS, burst, Duration.ZERO, Duration.ZERO));
        }
        for (int i = 0; i < endpoints; i++) {
            s.paced(endpoint(i), new Sightings.Limit(endpointRate, 0, Duration.ZERO, Duration.ZERO));
        }
        lanes().forEach(l -> s.lane(l, new Sightings.LaneLimits(TIME_LIMIT_MS, ATTEMPTS)));
    }
}
