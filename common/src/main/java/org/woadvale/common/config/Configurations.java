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

/** Reading and checking of JSON that people write: design 6.1. */
public final class Configurations {
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

    public static Configuration configuration(byte[] json) throws ServiceException {
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

    /** A configuration that was taken: it is used as it is, whatever this build would say of it, or knows of it. */
    public static Configuration taken(byte[] json) throws ServiceException {
        try {
            return JSON.readerFor(Configuration.class)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readValue(json);
        } catch (IOException e) {
            throw new InvalidConfigurationException("The taken layout cannot be read: " + e.getMessage());
        }
    }

    public static <T> T read(byte[] json, Class<T> type, ErrorKind kind) throws ServiceException {
        try {
            T t = JSON.readValue(json, type);
            if (t == null) {
                throw ServiceException.of(kind, "The JSON document is empty.", List.of());
            }
            return t;
        } catch (JsonMappingException e) {
            throw ServiceException.of(kind, "The document does not fit.", List.of(fault(e)));
        } catch (IOException e) {
            throw ServiceException.of(kind, "The document is not JSON.", List.of(fault(e)));
        }
    }

    /** Why a document cannot be read: in one line, and by path where there is one. */
    public static String fault(IOException e) {
        StringBuilder path = new StringBuilder();
        String why = String.valueOf(e.getMessage());
        if (e instanceof JsonMappingException m) {
            m.getPath()
                    .forEach(r -> path.append(
                            r.getFieldName() == null
                                    ? "[" + r.getIndex() + "]"
                                    : (path.length() == 0 ? "" : ".") + r.getFieldName()));
            why = String.valueOf(m.getOriginalMessage());
        }
        return (path.length() == 0 ? "" : path + ": ") + why.lines().findFirst().orElse("");
    }

    /** Every fault of the annotations, by path. */
    public static List<String> faults(Object o) {
        return VALIDATOR.validate(o).stream()
                .map(v -> v.getPropertyPath() + ": " + v.getMessage())
                .sorted()
                .toList();
    }

    private static List<String> crossFaults(Configuration configuration) {
        List<String> out = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        configuration.services().forEach((n, service) -> {
            if (!service.address().isEmpty()) {
                Optional.ofNullable(addresses.putIfAbsent(service.address().replaceAll("/+$", ""), n))
                        .ifPresent(other ->
                                out.add("services." + n + ".address: is " + other + "'s too; it would get both rates"));
            }
            boolean endpoint = service.kind() == Configuration.Kind.ENDPOINT;
            if (endpoint && service.address().isEmpty()) {
                out.add("services." + n + ".address: an endpoint needs one");
            }
            if (endpoint && service.ratePerS() < 1) {
                out.add("services." + n + ".ratePerS: an endpoint needs a rate of at least 1");
            }
            if (!endpoint && !service.address().isEmpty()) {
                out.add("services." + n + ".address: processors are listed by the platform");
            }
        });
        Map<Configuration.Door, String> doors = new HashMap<>();
        configuration.lanes().forEach((n, lane) -> {
            lane.doors()
                    .forEach(door -> Optional.ofNullable(doors.putIfAbsent(door, n))
                            .ifPresent(other -> out.add("lanes." + n + ".doors: " + door.host() + door.prefix() + " is "
                                    + other + "'s too")));
            if (!configuration.services().containsKey(lane.service())) {
                out.add("lanes." + n + ".service: no service " + lane.service());
            }
            if (lane.attemptMs() > lane.timeLimitMs()) {
                out.add("lanes." + n + ".attemptMs: longer than timeLimitMs");
            }
        });
        Set<String> hashes = new HashSet<>();
        configuration.keys().forEach((n, key) -> {
            if (key.role() == Configuration.Role.CALLER
                    && !configuration.tenants().containsKey(key.tenant())) {
                out.add("keys." + n + ".tenant: no tenant " + key.tenant());
            }
            if (key.role() == Configuration.Role.PROCESSOR
                    && !configuration.services().containsKey(key.service())) {
                out.add("keys." + n + ".service: no service " + key.service());
            }
            if (!hashes.add(key.sha256())) {
                out.add("keys." + n + ".sha256: used by two keys");
            }
        });
        return out;
    }

    public static byte[] write(Object o) {
        try {
            return JSON.writeValueAsBytes(o);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

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
