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

/** Reading and checking of JSON that people write (docs/design.md, section 6.1). */
public final class Configurations {
    /** Reads and writes all JSON of the product. */
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

    /** A configuration that keeps all rules; fails with every fault by its path. */
    public static Configuration parseAndValidate(byte[] json) throws ServiceException {
        Configuration configuration = read(json, Configuration.class, ErrorKind.INVALID_LAYOUT);
        List<String> faults = new ArrayList<>(faults(configuration));
        if (faults.isEmpty()) {
            faults.addAll(crossFaults(configuration));
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException("The layout has " + faults.size() + " faults.", faults);
        }
        return configuration;
    }

    /** A configuration that was taken: it is used as the core keeps it, whatever this build would say of it. */
    public static Configuration readAccepted(byte[] kept) throws ServiceException {
        byte[] json = PackedConfiguration.unpack(kept);
        try {
            return JSON.readerFor(Configuration.class)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readValue(json);
        } catch (IOException e) {
            throw new InvalidConfigurationException("The taken layout cannot be read: " + e.getMessage());
        }
    }

    /** A document of a type; fails with the kind given, and each fault by its path. */
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

    /** Why a document cannot be read: in one line, and by path where there is one. */
    public static String fault(IOException e) {
        StringBuilder path = new StringBuilder();
        String reason = String.valueOf(e.getMessage());
        if (e instanceof JsonMappingException mapping) {
            mapping.getPath()
                    .forEach(r -> path.append(
                            r.getFieldName() == null
                                    ? "[" + r.getIndex() + "]"
                                    : (path.length() == 0 ? "" : ".") + r.getFieldName()));
            reason = String.valueOf(mapping.getOriginalMessage());
        }
        return (path.length() == 0 ? "" : path + ": ")
                + reason.lines().findFirst().orElse("");
    }

    /** Every fault of the annotations, by path. */
    public static List<String> faults(Object value) {
        return VALIDATOR.validate(value).stream()
                .map(violation -> violation.getPropertyPath() + ": " + violation.getMessage())
                .sorted()
                .toList();
    }

    private static List<String> crossFaults(Configuration configuration) {
        List<String> faults = new ArrayList<>();
        serviceFaults(configuration, faults);
        laneFaults(configuration, faults);
        keyFaults(configuration, faults);
        return faults;
    }

    private static void serviceFaults(Configuration configuration, List<String> faults) {
        Map<String, String> byAddress = new HashMap<>();
        configuration.services().forEach((name, service) -> {
            String path = "services." + name;
            boolean hasAddress = !service.address().isEmpty();
            if (hasAddress) {
                Optional.ofNullable(byAddress.putIfAbsent(service.address().replaceAll("/+$", ""), name))
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
        Map<Configuration.HttpRoute, String> byDoor = new HashMap<>();
        configuration.lanes().forEach((name, lane) -> {
            String path = "lanes." + name;
            lane.doors()
                    .forEach(door -> Optional.ofNullable(byDoor.putIfAbsent(door, name))
                            .ifPresent(other -> faults.add(
                                    path + ".doors: " + door.host() + door.prefix() + " is " + other + "'s too")));
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

    /** The JSON of a value. */
    public static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The SHA-256 of a text in hexadecimal. */
    public static String sha256(String secret) {
        return sha256(secret.getBytes(StandardCharsets.UTF_8));
    }

    /** The digest of the bytes as they are, in hexadecimal digits. */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
