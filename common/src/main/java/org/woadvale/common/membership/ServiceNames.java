package org.woadvale.common.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Names of services and partitions, and the hash functions by which all processes assign them alike (docs/design.md,
 * section 6.2).
 */
public final class ServiceNames {
    /** The service whose view holds the configuration. */
    public static final String CONFIGURATION = "layout";
    /** The service whose view holds the desired members of the core; in the partition of the configuration. */
    public static final String CORE = "core";

    /** The service whose members are the intakes. */
    public static final String INTAKES = "role/intake";
    /** The service whose members are the stores, and whose view holds the placement. */
    public static final String STORES = "role/store";
    /** Number of control partitions besides c0. */
    public static final int CONTROL_PARTITIONS = 8;
    /** Number of message partitions. */
    public static final int MESSAGE_PARTITIONS = 8;

    // constants of well-known hash functions; a change would reassign every partition
    private static final long HASH_SEED = 1125899906842597L;
    private static final int HASH_FACTOR = 31;
    private static final int FINAL_SHIFT = 33;
    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    private static final int GOLDEN_RATIO = 0x9E3779B9;
    private static final int MIX_SHIFT = 15;

    private ServiceNames() {}

    /** The service whose singleton lease belongs to the owner of a tenant's rate limit bucket. */
    public static String tenantBucket(String tenant) {
        return "tenant/" + tenant;
    }

    /**
     * The service of the rate limit bucket of an external endpoint. It is identified by the endpoint's address,
     * whatever the configured service is called. (docs/design.md, section 8.6)
     */
    public static String endpointBucket(String address) {
        return "endpoint/" + address.replaceAll("/+$", "");
    }

    /** The service whose view holds the processors of a configured service. */
    public static String processors(String service) {
        return "service/" + service;
    }

    /** The control partition that holds a service. */
    public static String controlPartition(String service) {
        return service.equals(CONFIGURATION) || service.equals(CORE)
                ? "c0"
                : "c" + (1 + Math.floorMod(mix(service.hashCode()), CONTROL_PARTITIONS));
    }

    /** All control partitions. */
    public static List<String> controlPartitions() {
        return IntStream.rangeClosed(0, CONTROL_PARTITIONS)
                .mapToObj(i -> "c" + i)
                .toList();
    }

    /** The message partition of a lane and an ordering key, or a message id. */
    public static String messagePartition(String lane, String key) {
        return "m" + Math.floorMod(mix((lane + "/" + key).hashCode()), MESSAGE_PARTITIONS);
    }

    /** All message partitions. */
    public static List<String> messagePartitions() {
        return IntStream.range(0, MESSAGE_PARTITIONS).mapToObj(i -> "m" + i).toList();
    }

    /** Chooses an owner by rendezvous hashing: the loss of a node moves only what it owned. */
    public static Optional<String> rendezvousOwner(String key, Collection<String> nodes) {
        return nodes.stream()
                .max(Comparator.<String>comparingLong(node -> mix64(key, node)).thenComparing(node -> node));
    }

    /** A well-mixed hash of two texts, the same in every process and build. */
    public static long mix64(String first, String second) {
        long hash = HASH_SEED;
        for (int i = 0; i < first.length(); i++) {
            hash = HASH_FACTOR * hash + first.charAt(i);
        }
        hash = HASH_FACTOR * hash + '|';
        for (int i = 0; i < second.length(); i++) {
            hash = HASH_FACTOR * hash + second.charAt(i);
        }
        hash ^= hash >>> FINAL_SHIFT;
        hash *= FIRST_MULTIPLIER;
        hash ^= hash >>> FINAL_SHIFT;
        hash *= SECOND_MULTIPLIER;
        return hash ^ (hash >>> FINAL_SHIFT);
    }

    private static int mix(int hash) {
        int mixed = hash * GOLDEN_RATIO;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }
}
