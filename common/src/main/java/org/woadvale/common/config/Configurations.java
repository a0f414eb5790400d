package org.woadvale.common.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidConfigurationException;
import org.woadvale.common.error.ServiceException;

/** Parses and validates JSON documents that operators and clients write (docs/design.md, section 6.1). */
public final class Configurations {
    /** The mapper for all JSON documents. */
    public static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private static final Validator VALIDATOR = Validation.byDefaultProvider()
            .configure()
            .messageInterpolator(new ParameterMessageInterpolator())
            .buildValidatorFactory()
            .getValidator();

    private Configurations() {}

    /** Parses a configuration and checks all rules; fails with a list of all faults by their paths. */
    public static Configuration parseAndValidate(byte[] json) throws ServiceException {
        Configuration configuration = read(json, Configuration.class, ErrorKind.INVALID_LAYOUT);
        List<String> faults = new ArrayList<>(faults(configuration));
        if (faults.isEmpty()) {
            faults.addAll(crossReferenceFaults(configuration));
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException("The layout has " + faults.size() + " faults.", faults);
        }
        return configuration;
    }

    /**
     * Reads an accepted configuration in its stored form. It stays usable even if this build would reject it: it is not
     * validated and unknown fields are ignored.
     */
    public static Configuration readAccepted(byte[] stored) throws ServiceException {
        byte[] json = PackedConfiguration.unpack(stored);
        try {
            return JSON.readerFor(Configuration.class)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readValue(json);
        } catch (IOException e) {
            throw new InvalidConfigurationException("The taken layout cannot be read: " + e.getMessage());
        }
    }

    /** Parses a document of the given type; fails with the given kind and the fault by its path. */
    public static <T> T read(byte[] json, Class<T> type, ErrorKind kind) throws ServiceException {
        try {
            T value = JSON.readValue(json, type);
            if (value == null) {
                throw ServiceException.of(kind, "The JSON document is empty.", List.of());
            }
            return value;
        } catch (JsonMappingException e) {
            throw ServiceException.of(kind, "The document does not fit.", List.of(fault(e)));
        } catch (IOException e) {
            throw ServiceException.of(kind, "The document is not JSON.", List.of(fault(e)));
        }
    }

    /** Describes in one line why a document cannot be read, with the path of the fault if there is one. */
    public static String fault(IOException e) {
        StringBuilder path = new StringBuilder();
        String reason = String.valueOf(e.getMessage());
        if (e instanceof JsonMappingException mapping) {
            mapping.getPath()
                    .forEach(reference -> path.append(
                            reference.getFieldName() == null
                                    ? "[" + reference.getIndex() + "]"
                                    : (path.length() == 0 ? "" : ".") + reference.getFieldName()));
            reason = String.valueOf(mapping.getOriginalMessage());
        }
        return (path.length() == 0 ? "" : path + ": ")
                + reason.lines().findFirst().orElse("");
    }

    /** Returns all violations of the constraint annotations by their paths. */
    public static List<String> faults(Object value) {
        return VALIDATOR.validate(value).stream()
                .map(violation -> violation.getPropertyPath() + ": " + violation.getMessage())
                .sorted()
                .toList();
    }

    private static List<String> crossReferenceFaults(Configuration configuration) {
        List<String> faults = new ArrayList<>();
        serviceFaults(configuration, faults);
        laneFaults(configuration, faults);
        keyFaults(configuration, faults);
        return faults;
    }

    private static void serviceFaults(Configuration configuration, List<String> faults) {
        Map<String, String> serviceByAddress = new HashMap<>();
        configuration.services().forEach((name, service) -> {
            String path = "services." + name;
            boolean hasAddress = !service.address().isEmpty();
            if (hasAddress) {
                Optional.ofNullable(
                                serviceByAddress.putIfAbsent(service.address().replaceAll("/+$", ""), name))
                        .ifPresent(other ->
                                faults.add(path + ".address: is " + other + "'s too; it would get both rates"));
            }
            boolean endpoint = service.kind() == Configuration.Kind.ENDPOINT;
            if (endpoint && !hasAddress) {
                faults.add(path + ".address: an endpoint needs one");
            }
            if (endpoint && service.ratePerS() < 1) {
                faults.add(path + ".ratePerS: an endpoint needs a rate of at least 1");
            }
            if (!endpoint && hasAddress) {
                faults.add(path + ".address: processors are listed by the platform");
            }
        });
    }

    private static void laneFaults(Configuration configuration, List<String> faults) {
        Map<Configuration.HttpRoute, String> laneByRoute = new HashMap<>();
        configuration.lanes().forEach((name, lane) -> {
            String path = "lanes." + name;
            lane.doors()
                    .forEach(route -> Optional.ofNullable(laneByRoute.putIfAbsent(route, name))
                            .ifPresent(other -> faults.add(
                                    path + ".doors: " + route.host() + route.prefix() + " is " + other + "'s too")));
            if (!configuration.services().containsKey(lane.service())) {
                faults.add(path + ".service: no service " + lane.service());
            }
            if (lane.attemptMs() > lane.timeLimitMs()) {
                faults.add(path + ".attemptMs: longer than timeLimitMs");
            }
        });
    }

    private static void keyFaults(Configuration configuration, List<String> faults) {
        Set<String> hashes = new HashSet<>();
        configuration.keys().forEach((name, key) -> {
            String path = "keys." + name;
            if (key.role() == Configuration.Role.CALLER
                    && !configuration.tenants().containsKey(key.tenant())) {
                faults.add(path + ".tenant: no tenant " + key.tenant());
            }
            if (key.role() == Configuration.Role.PROCESSOR
                    && !configuration.services().containsKey(key.service())) {
                faults.add(path + ".service: no service " + key.service());
            }
            if (!hashes.add(key.sha256())) {
                faults.add(path + ".sha256: used by two keys");
            }
        });
    }

    /** Returns the JSON of a value. */
    public static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the SHA-256 digest of the UTF-8 bytes of a text, in hexadecimal. */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 digest of the given bytes, in hexadecimal. */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
