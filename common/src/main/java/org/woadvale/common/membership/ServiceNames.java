package org.woadvale.common.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** Names of services and parts, and the draws by hash that everyone makes alike: design 6.2. */
public final class ServiceNames {
    public static final String CONFIGURATION = "layout";
    /** Who the control nodes should be; kept with the configuration. */
    public static final String CORE = "core";

    public static final String INTAKES = "role/intake";
    public static final String STORES = "role/store";
    public static final int CONTROL_PARTS = 8;
    public static final int MESSAGE_PARTS = 8;

    private ServiceNames() {}

    public static String tenantBucket(String tenant) {
        return "tenant/" + tenant;
    }

    /** The bucket of an outside endpoint goes by its address, whatever the service is called. design 8.6 */
    public static String endpointBucket(String address) {
        return "endpoint/" + address.replaceAll("/+$", "");
    }

    public static String processors(String service) {
        return "service/" + service;
    }

    public static String controlPart(String service) {
        return service.equals(CONFIGURATION) || service.equals(CORE)
                ? "c0"
                : "c" + (1 + Math.floorMod(mix(service.hashCode()), CONTROL_PARTS));
    }

    public static List<String> controlParts() {
        return IntStream.rangeClosed(0, CONTROL_PARTS).mapToObj(i -> "c" + i).toList();
    }

    public static String messagePart(String lane, String key) {
        return "m" + Math.floorMod(mix((lane + "/" + key).hashCode()), MESSAGE_PARTS);
    }

    public static List<String> messageParts() {
        return IntStream.range(0, MESSAGE_PARTS).mapToObj(i -> "m" + i).toList();
    }

    /** Rendezvous draw: losing a node moves only what it had. */
    public static Optional<String> rendezvousOwner(String what, Collection<String> nodes) {
        return nodes.stream()
                .max(Comparator.<String>comparingLong(n -> mix64(what, n)).thenComparing(n -> n));
    }

    public static long mix64(String a, String b) {
        long h = 1125899906842597L;
        for (int i = 0; i < a.length(); i++) {
            h = 31 * h + a.charAt(i);
        }
        h = 31 * h + '|';
        for (int i = 0; i < b.length(); i++) {
            h = 31 * h + b.charAt(i);
        }
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        h *= 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }

    private static int mix(int h) {
        int x = h * 0x9E3779B9;
        return x ^ (x >>> 15);
    }
}
