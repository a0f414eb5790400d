package org.woadvale.common.config;

import com.fasterxml.jackson.annotation.JsonAlias;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.ServiceNames;

/** The settings of a process, read from its boot file (docs/design.md, section 10.1). */
public record Settings(
        @NotNull @Pattern(regexp = ADDRESS, message = "must be IP:port")
        String address,

        @NotNull @Pattern(regexp = ADDRESS, message = "must be IP:port")
        String http,

        @NotNull
        @Pattern(regexp = "[a-z0-9-]{1,32}", message = "must be 1 to 32 small letters, digits or -")
        @JsonAlias("hall")
        String zone,

        @NotNull @Size(min = 1, max = 3)
        List<@NotNull @Pattern(regexp = ADDRESS, message = "must be IP:port") String> seeds,

        Set<@NotNull @Pattern(regexp = "intake|store", message = "must be intake or store") String> roles,
        String data,
        @Min(0) @Max(64) int ringFiles,
        @Min(0) @Max(256) int ringFileMb,
        @Pattern(regexp = "([0-9a-f]{64})?") String operatorKeySha256,
        boolean join,
        @Min(0) @Max(16) int partMb,

        @Pattern(regexp = "(" + ADDRESS + ")?", message = "must be IP:port")
        String listen,

        @Min(0) @Max(3600000) long leaseMs,
        @Min(0) @Max(604800) int keepEndedS,
        @Min(0) @Max(60000) long lingerMs,
        @Valid FaultTolerance faultTolerance,
        @Min(0) @Max(3600000) long graceMs) {

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})";
    private static final String PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5]?[0-9]{1,4})";
    static final String ADDRESS = OCTET + "(\\." + OCTET + "){3}:" + PORT;
    private static final int MIN_RING_FILES = 4;
    private static final int MEBIBYTE_SHIFT = 20;
    /** The log of a replica since its latest snapshot, which is kept in memory, may take a ring file divided by this. */
    private static final int COMPACTION_FRACTION = 4;

    private static final int DEFAULT_RING_FILES = 16;
    private static final int DEFAULT_RING_FILE_MB = 16;
    private static final int DEFAULT_PART_MB = 8;
    private static final int MAX_LOG_MB = 4;
    private static final long DEFAULT_LEASE_MS = 3000;
    private static final int DEFAULT_KEEP_ENDED_S = 120;
    private static final long DEFAULT_GRACE_MS = 10_000;
    /** Heap for the messages, for a snapshot of them that is being written and for one that is being transferred. */
    private static final double HEAP_MB_PER_PART_MB = 2.5;

    /** Replaces absent values with their defaults. */
    public Settings {
        roles = roles == null ? Set.of() : Set.copyOf(roles);
        data = data == null ? "" : data;
        ringFiles = ringFiles == 0 ? DEFAULT_RING_FILES : ringFiles;
        ringFileMb = ringFileMb == 0 ? DEFAULT_RING_FILE_MB : ringFileMb;
        partMb = partMb == 0 ? DEFAULT_PART_MB : partMb;
        listen = listen == null ? "" : listen;
        operatorKeySha256 = operatorKeySha256 == null ? "" : operatorKeySha256;
        leaseMs = leaseMs == 0 ? DEFAULT_LEASE_MS : leaseMs;
        keepEndedS = keepEndedS == 0 ? DEFAULT_KEEP_ENDED_S : keepEndedS;
        faultTolerance = faultTolerance == null ? FaultTolerance.ONE_MACHINE : faultTolerance;
        graceMs = graceMs == 0 ? DEFAULT_GRACE_MS : graceMs;
    }

    /** Creates settings with the default lease, retention, linger and grace times and a fault tolerance of one machine. */
    public Settings(
            String address,
            String http,
            String zone,
            List<String> seeds,
            Set<String> roles,
            String data,
            int ringFiles,
            int ringFileMb,
            String operatorKeySha256,
            boolean join,
            int partMb,
            String listen) {
        this(
                address,
                http,
                zone,
                seeds,
                roles,
                data,
                ringFiles,
                ringFileMb,
                operatorKeySha256,
                join,
                partMb,
                listen,
                0,
                0,
                0,
                FaultTolerance.ONE_MACHINE,
                0);
    }

    /** Reads the settings from a file; fails with a message that names the first invalid field. */
    public static Settings read(String file) throws ServiceException {
        try {
            return checked(
                    Configurations.read(Files.readAllBytes(Path.of(file)), Settings.class, ErrorKind.BAD_REQUEST));
        } catch (IOException e) {
            throw new InvalidRequestException("Cannot read the boot file " + file + ".");
        } catch (ServiceException failure) {
            String location = failure.details().isEmpty()
                    ? failure.getMessage()
                    : failure.details().get(0).replace(".<list element>", "").replace(".<iterable element>", "");
            throw new InvalidRequestException("The boot file " + file + " is invalid at " + location + ".");
        }
    }

    /** Returns the settings if their values are valid, consistent and feasible on this machine. */
    public static Settings checked(Settings settings) throws ServiceException {
        List<String> faults = new ArrayList<>(Configurations.faults(settings));
        if (faults.isEmpty() && settings.ringFiles() < MIN_RING_FILES) {
            faults.add("ringFiles: must be at least 4");
        }
        if (faults.isEmpty()
                && settings.roles().contains("store")
                && settings.data().isEmpty()) {
            faults.add("data: a store needs a data folder");
        }
        if (faults.isEmpty() && settings.roles().contains("store")) {
            sizeFault(settings, Runtime.getRuntime().maxMemory() >> MEBIBYTE_SHIFT)
                    .ifPresent(faults::add);
        }
        if (!faults.isEmpty()) {
            throw new InvalidRequestException("invalid", faults);
        }
        return settings;
    }

    /**
     * Returns why the sizes are infeasible, or empty if they are feasible. A partition must fit into half a ring file, all
     * partitions twice into the ring, and all of them into the heap (docs/design.md, section 9.8).
     */
    static Optional<String> sizeFault(Settings settings, long heapMb) {
        int partitions = ServiceNames.MESSAGE_PARTITIONS;
        if (settings.partMb() * 2 > settings.ringFileMb()) {
            return Optional.of("partMb: a part of " + settings.partMb() + " MB needs ringFileMb of at least "
                    + 2 * settings.partMb());
        }
        // for each partition an old snapshot, a new one and the log between them, plus the file that is being written
        int ringMb = partitions
                        * (2 * settings.partMb()
                                + Math.min(MAX_LOG_MB, Math.max(1, settings.ringFileMb() / COMPACTION_FRACTION)))
                + settings.ringFileMb();
        if (ringMb > settings.ringFiles() * settings.ringFileMb()) {
            return Optional.of("partMb: " + partitions + " parts of " + settings.partMb() + " MB need a ring of "
                    + ringMb + " MB, it has " + settings.ringFiles() * settings.ringFileMb());
        }
        return partitions * settings.partMb() * HEAP_MB_PER_PART_MB <= heapMb
                ? Optional.empty()
                : Optional.of("partMb: " + partitions + " parts of " + settings.partMb() + " MB need a heap of "
                        + (int) (partitions * settings.partMb() * HEAP_MB_PER_PART_MB) + " MB, it has " + heapMb);
    }

    /** Returns the address to listen on, which may differ from the address that other processes connect to. */
    public String listenAddress() {
        return listen.isEmpty() ? address : listen;
    }

    /** Returns the settings with values from the command line; an empty flag changes nothing. */
    public Settings withFlags(String flagAddress, String flagHttp, String flagZone, String flagData)
            throws ServiceException {
        return checked(new Settings(
                orElse(flagAddress, address),
                orElse(flagHttp, http),
                orElse(flagZone, zone),
                seeds,
                roles,
                orElse(flagData, data),
                ringFiles,
                ringFileMb,
                operatorKeySha256,
                join,
                partMb,
                listen,
                leaseMs,
                keepEndedS,
                lingerMs,
                faultTolerance,
                graceMs));
    }

    /** Returns the time from the request to stop until the process is killed if it still runs. */
    public Duration gracePeriod() {
        return Duration.ofMillis(graceMs);
    }

    private static String orElse(String flag, String setting) {
        return flag.isEmpty() ? setting : flag;
    }
}
