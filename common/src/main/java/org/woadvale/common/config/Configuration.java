package org.woadvale.common.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The configuration of the system, as operators write it; the component names are the JSON names. */
public record Configuration(
        @NotNull @Size(max = Configuration.MAX_ENTRIES)
        Map<@Pattern(regexp = NAME) String, @NotNull @Valid Tenant> tenants,

        @NotNull @Size(max = Configuration.MAX_ENTRIES)
        Map<@Pattern(regexp = NAME) String, @NotNull @Valid Service> services,

        @NotNull @Size(max = Configuration.MAX_ENTRIES) Map<@Pattern(regexp = NAME) String, @NotNull @Valid Lane> lanes,

        @NotNull @Size(max = Configuration.MAX_ENTRIES) Map<@Pattern(regexp = NAME) String, @NotNull @Valid Key> keys) {

    /** Maximum number of tenants, of services, of lanes and of keys. */
    static final int MAX_ENTRIES = 10_000;

    /** Tenant names that fit into one header field: printable ASCII without a space at either end. */
    public static final String GIVEN_NAME = "([!-~]([ -~]{0,253}[!-~])?)?";

    static final String NAME = "[a-z0-9][a-z0-9_-]{0,62}";

    /** Replaces absent components with empty ones. */
    public Configuration {
        tenants = orEmpty(tenants);
        services = orEmpty(services);
        lanes = orEmpty(lanes);
        keys = orEmpty(keys);
    }

    private static <V> Map<String, V> orEmpty(Map<String, V> map) {
        return map == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(map));
    }

    /**
     * A tenant, with its limit on submitted messages: a rate per second and a burst size.
     *
     * @param givenName the name by which processors know the tenant, if it differs from the name in the configuration;
     *     otherwise empty
     */
    public record Tenant(
            @JsonProperty(required = true) @DecimalMin("0.1") @DecimalMax("100000")
            double ratePerS,

            @JsonProperty(required = true) @Min(1) @Max(1000000)
            int burstSize,

            @JsonInclude(JsonInclude.Include.NON_EMPTY) @Pattern(regexp = Configuration.GIVEN_NAME)
            String givenName) {
        /** Replaces an absent name with an empty one. */
        public Tenant {
            givenName = givenName == null ? "" : givenName;
        }

        /** Creates a tenant that processors know by its name in the configuration. */
        public Tenant(double ratePerS, int burstSize) {
            this(ratePerS, burstSize, "");
        }
    }

    /** How messages reach the processors of a service. (docs/design.md, section 9.10) */
    public enum Kind {
        /** Messages are pushed to the processors that the platform lists. */
        PROCESSORS,
        /** Messages are pushed to one external address, at a configured rate. */
        ENDPOINT,
        /** Processors that the platform does not list pull messages and hold them under a lease. */
        FETCHERS
    }

    /**
     * A processor group, or one external endpoint with its rate.
     *
     * @param streams the number of connections that one processor accepts from all stores together; 0 if unspecified
     * @param dedupes whether the processors answer a repeated message with their first success
     */
    public record Service(
            @NotNull Kind kind,

            @Pattern(regexp = "(http://[0-9.]+:[0-9]{1,5}(/[A-Za-z0-9/_.-]*)?)?")
            String address,

            @DecimalMin("0") @DecimalMax("100000") double ratePerS,
            @Min(0) @Max(100000) int streams,
            boolean dedupes) {
        /** Replaces an absent address with an empty one. */
        public Service {
            address = address == null ? "" : address;
        }

        /** Creates a service without limits beyond its rate. */
        public Service(Kind kind, String address, double ratePerS) {
            this(kind, address, ratePerS, 0, false);
        }
    }

    /** The order in which the messages of a lane are executed. */
    public enum Ordering {
        /** Messages are executed in any order. */
        NONE,
        /** Messages with the same ordering key are executed one after the other, in the order of acceptance. */
        KEY
    }

    /**
     * How to handle a message for which it is unknown whether it was executed. RESEND requires processors that deduplicate
     * (docs/design.md, section 9.11).
     */
    public enum UnknownOutcomePolicy {
        /** The message fails, with a distinct reason. */
        FAIL,
        /** The message is executed again in a new attempt. */
        RERUN,
        /** The message is sent again with the same attempt number, which the processor recognises. */
        RESEND
    }

    /** A host and a path prefix that address a lane, besides its name. (docs/design.md, section 9.12) */
    public record HttpRoute(
            @NotNull @Pattern(regexp = "[!-~]{1,255}") String host,
            @NotNull @Pattern(regexp = "/[!-~]{0,1023}") String prefix) {}

    /** Routes messages of one kind to a service. */
    public record Lane(
            @NotNull @Pattern(regexp = NAME) String service,
            @NotNull Ordering ordering,

            @JsonProperty(required = true) @Min(1000) @Max(604800000)
            long timeLimitMs,

            @JsonProperty(required = true) @Min(1) @Max(100) int attempts,
            @Min(0) @Max(600000) long attemptMs,
            UnknownOutcomePolicy ifUnclear,
            @Size(max = 100) List<@NotNull @Valid HttpRoute> doors,
            boolean keyless) {
        private static final long DEFAULT_ATTEMPT_MS = 5000;

        /** Replaces absent values with their defaults. */
        public Lane {
            attemptMs = attemptMs == 0 ? DEFAULT_ATTEMPT_MS : attemptMs;
            ordering = ordering == null ? Ordering.NONE : ordering;
            ifUnclear = ifUnclear == null ? UnknownOutcomePolicy.FAIL : ifUnclear;
            doors = doors == null ? List.of() : List.copyOf(doors);
        }

        /** Creates a lane without HTTP routes, which requires a key. */
        public Lane(
                String service,
                Ordering ordering,
                long timeLimitMs,
                int attempts,
                long attemptMs,
                UnknownOutcomePolicy ifUnclear) {
            this(service, ordering, timeLimitMs, attempts, attemptMs, ifUnclear, List.of(), false);
        }

        /** Returns the time limit from the acceptance of a message to its end. */
        @JsonIgnore
        public Duration timeLimit() {
            return Duration.ofMillis(timeLimitMs);
        }

        /** Returns the time limit from the sending of an attempt to its response. */
        @JsonIgnore
        public Duration attemptLimit() {
            return Duration.ofMillis(attemptMs);
        }
    }

    /** The operations that a key permits. */
    public enum Role {
        /** Submits and queries messages of one tenant. */
        CALLER,
        /** Pulls messages of one service and reports their outcome. */
        PROCESSOR
    }

    /** An API key; only the SHA-256 digest of its secret is stored. */
    public record Key(
            @NotNull Role role,
            String tenant,
            String service,
            @NotNull @Pattern(regexp = "[0-9a-f]{64}") String sha256) {
        /** Replaces absent names with empty ones. */
        public Key {
            tenant = tenant == null ? "" : tenant;
            service = service == null ? "" : service;
        }
    }

    /** Returns the configuration that is in force before the first one is accepted. */
    public static Configuration empty() {
        return new Configuration(Map.of(), Map.of(), Map.of(), Map.of());
    }
}
