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

/** All that operators configure; its JSON has the names of the components. */
public record Configuration(
        @NotNull @Size(max = Configuration.MAX_ENTRIES)
        Map<@Pattern(regexp = NAME) String, @NotNull @Valid Tenant> tenants,

        @NotNull @Size(max = Configuration.MAX_ENTRIES)
        Map<@Pattern(regexp = NAME) String, @NotNull @Valid Service> services,

        @NotNull @Size(max = Configuration.MAX_ENTRIES) Map<@Pattern(regexp = NAME) String, @NotNull @Valid Lane> lanes,

        @NotNull @Size(max = Configuration.MAX_ENTRIES) Map<@Pattern(regexp = NAME) String, @NotNull @Valid Key> keys) {

    /** So many tenants, services, lanes or keys at the most. */
    static final int MAX_ENTRIES = 10_000;

    /** What fits into one header field: printable ASCII without a space at either end. */
    public static final String GIVEN_NAME = "([!-~]([ -~]{0,253}[!-~])?)?";

    static final String NAME = "[a-z0-9][a-z0-9_-]{0,62}";

    /** Absent components are empty. */
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
     * How many messages a tenant may hand in in each second, and how large a burst.
     *
     * @param givenName what processors are told as its name, where that is not the name it has here; empty otherwise
     */
    public record Tenant(
            @JsonProperty(required = true) @DecimalMin("0.1") @DecimalMax("100000")
            double ratePerS,

            @JsonProperty(required = true) @Min(1) @Max(1000000)
            int burstSize,

            @JsonInclude(JsonInclude.Include.NON_EMPTY) @Pattern(regexp = Configuration.GIVEN_NAME)
            String givenName) {
        /** An absent name is empty. */
        public Tenant {
            givenName = givenName == null ? "" : givenName;
        }

        /** A tenant that processors know by the name that it has here. */
        public Tenant(double ratePerS, int burstSize) {
            this(ratePerS, burstSize, "");
        }
    }

    /** Fetchers are on no list: they fetch, and hold what they have got by a lease. (docs/design.md, section 9.10) */
    public enum Kind {
        /** Processors that the platform lists; messages are pushed to them. */
        PROCESSORS,
        /** One address outside, with a rate of its own. */
        ENDPOINT,
        /** Processors that pull. */
        FETCHERS
    }

    /**
     * A processor group, or one outside endpoint with its stated rate. Streams: how many connections one back end takes
     * from all stores together, 0 where it does not say. Dedupes: a repeat gets the first success again.
     */
    public record Service(
            @NotNull Kind kind,

            @Pattern(regexp = "(http://[0-9.]+:[0-9]{1,5}(/[A-Za-z0-9/_.-]*)?)?")
            String address,

            @DecimalMin("0") @DecimalMax("100000") double ratePerS,
            @Min(0) @Max(100000) int streams,
            boolean dedupes) {
        /** An absent address is empty. */
        public Service {
            address = address == null ? "" : address;
        }

        /** A service without limits beyond its rate. */
        public Service(Kind kind, String address, double ratePerS) {
            this(kind, address, ratePerS, 0, false);
        }
    }

    /** In which order messages of a lane run. */
    public enum Ordering {
        /** Messages run in any order. */
        NONE,
        /** Messages with the same ordering key run one after the other, in the order of acceptance. */
        KEY
    }

    /**
     * What becomes of a message when nobody can say whether it was executed; RESEND is for processors that deduplicate
     * (docs/design.md, section 9.11).
     */
    public enum UnknownOutcomePolicy {
        /** It ends as failed, with a reason of its own. */
        FAIL,
        /** It runs again. */
        RERUN,
        /** It is sent again under the same attempt, which the processor recognises. */
        RESEND
    }

    /**
     * A host and the beginning of a path by which a lane is addressed, besides its name. (docs/design.md, section 9.12)
     */
    public record HttpRoute(
            @NotNull @Pattern(regexp = "[!-~]{1,255}") String host,
            @NotNull @Pattern(regexp = "/[!-~]{0,1023}") String prefix) {}

    /** Leads one kind of message to a service. */
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
        private static final long USUAL_ATTEMPT_MS = 5000;

        /** Absent prefixes are none. */
        public Lane {
            attemptMs = attemptMs == 0 ? USUAL_ATTEMPT_MS : attemptMs;
            ordering = ordering == null ? Ordering.NONE : ordering;
            ifUnclear = ifUnclear == null ? UnknownOutcomePolicy.FAIL : ifUnclear;
            doors = doors == null ? List.of() : List.copyOf(doors);
        }

        /** A lane that callers with a key use by its name. */
        public Lane(
                String service,
                Ordering ordering,
                long timeLimitMs,
                int attempts,
                long attemptMs,
                UnknownOutcomePolicy ifUnclear) {
            this(service, ordering, timeLimitMs, attempts, attemptMs, ifUnclear, List.of(), false);
        }

        /** From acceptance to the end. */
        @JsonIgnore
        public Duration timeLimit() {
            return Duration.ofMillis(timeLimitMs);
        }

        /** From the sending of an attempt to its answer. */
        @JsonIgnore
        public Duration attemptLimit() {
            return Duration.ofMillis(attemptMs);
        }
    }

    /** What a key allows. */
    public enum Role {
        /** Submits messages of one tenant and asks for them. */
        CALLER,
        /** Pulls messages of one service and reports their outcome. */
        PROCESSOR
    }

    /** A key is known by the SHA-256 of its secret only. */
    public record Key(
            @NotNull Role role,
            String tenant,
            String service,
            @NotNull @Pattern(regexp = "[0-9a-f]{64}") String sha256) {
        /** Absent names are empty. */
        public Key {
            tenant = tenant == null ? "" : tenant;
            service = service == null ? "" : service;
        }
    }

    /** The configuration before the first one was accepted. */
    public static Configuration empty() {
        return new Configuration(Map.of(), Map.of(), Map.of(), Map.of());
    }
}
