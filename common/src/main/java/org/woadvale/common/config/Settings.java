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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.FaultTolerance;
import org.woadvale.common.membership.ServiceNames;

/** What a process learns of its place (docs/design.md, section 10.1). */
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
        @Valid FaultTolerance faultTolerance) {

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})";
    private static final String PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5]?[0-9]{1,4})";
    static final String ADDRESS = OCTET + "(\\." + OCTET + "){3}:" + PORT;
    private static final int FEWEST_FILES = 4;
    private static final int MEBIBYTE_SHIFT = 20;
    /** A replica keeps this part of a file of its log in memory. */
    private static final int COMPACTION_FRACTION = 4;

    private static final int USUAL_FILES = 16;
    private static final int USUAL_MB = 16;
    private static final int USUAL_PART_MB = 8;
    private static final int LOG_MB = 4;
    private static final long USUAL_LEASE_MS = 3000;
    private static final int USUAL_KEEP_ENDED_S = 120;
    /** Messages in memory, a view of them being written, and one on its way. */
    private static final double HEAP_PER_MB = 2.5;

    /** Absent values have their usual ones. */
    public Settings {
        roles = roles == null ? Set.of() : Set.copyOf(roles);
        data = data == null ? "" : data;
        ringFiles = ringFiles == 0 ? USUAL_FILES : ringFiles;
        ringFileMb = ringFileMb == 0 ? USUAL_MB : ringFileMb;
        partMb = partMb == 0 ? USUAL_PART_MB : partMb;
        listen = listen == null ? "" : listen;
        operatorKeySha256 = operatorKeySha256 == null ? "" : operatorKeySha256;
        leaseMs = leaseMs == 0 ? USUAL_LEASE_MS : leaseMs;
        keepEndedS = keepEndedS == 0 ? USUAL_KEEP_ENDED_S : keepEndedS;
        faultTolerance = faultTolerance == null ? FaultTolerance.ONE_MACHINE : faultTolerance;
    }

    /** Settings with the usual lease, retention and linger times, for fleets that bear the loss of one machine. */
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
                FaultTolerance.ONE_MACHINE);
    }

    /** The settings in a file; fails with each fault by its field. */
    public static Settings read(String file) throws ServiceException {
        try {
            return checked(
                    Configurations.read(Files.readAllBytes(Path.of(file)), Settings.class, ErrorKind.BAD_REQUEST));
        } catch (IOException e) {
            throw new InvalidRequestException("Cannot read the boot file " + file + ".");
        } catch (ServiceException failure) {
            String where = failure.details().isEmpty()
                    ? failure.getMessage()
                    : failure.details().get(0).replace(".<list element>", "").replace(".<iterable element>", "");
            throw new InvalidRequestException("The boot file " + file + " is invalid at " + where + ".");
        }
    }

    /** The same settings, if their values fit one another and this machine. */
    public static Settings checked(Settings settings) throws ServiceException {
        List<String> faults = new ArrayList<>(Configurations.faults(settings));
        if (faults.isEmpty() && settings.ringFiles() < FEWEST_FILES) {
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

    /** Whole partitions must fit into ring files, into the ring twice, and into the heap (docs/design.md, section 9.8). */
    static Optional<String> sizeFault(Settings settings, long heapMb) {
        int parts = ServiceNames.MESSAGE_PARTITIONS;
        if (settings.partMb() * 2 > settings.ringFileMb()) {
            return Optional.of("partMb: a part of " + settings.partMb() + " MB needs ringFileMb of at least "
                    + 2 * settings.partMb());
        }
        // of each partition an old snapshot, a new one and the log between them, and the file that is being written
        int ring = parts
                        * (2 * settings.partMb()
                                + Math.min(LOG_MB, Math.max(1, settings.ringFileMb() / COMPACTION_FRACTION)))
                + settings.ringFileMb();
        if (ring > settings.ringFiles() * settings.ringFileMb()) {
            return Optional.of("partMb: " + parts + " parts of " + settings.partMb() + " MB need a ring of " + ring
                    + " MB, it has " + settings.ringFiles() * settings.ringFileMb());
        }
        return parts * settings.partMb() * HEAP_PER_MB <= heapMb
                ? Optional.empty()
                : Optional.of("partMb: " + parts + " parts of " + settings.partMb() + " MB need a heap of "
                        + (int) (parts * settings.partMb() * HEAP_PER_MB) + " MB, it has " + heapMb);
    }

    /** Where to listen, if that is not the address by which others know this process. */
    public String listenAddress() {
        return listen.isEmpty() ? address : listen;
    }

    /** With the flags that the command line gave; an empty flag changes nothing. */
    public Settings withFlags(String flagAddress, String flagHttp, String flagZone, String flagData)
            throws ServiceException {
        return checked(new Settings(
                or(flagAddress, address),
                or(flagHttp, http),
                or(flagZone, zone),
                seeds,
                roles,
                or(flagData, data),
                ringFiles,
                ringFileMb,
                operatorKeySha256,
                join,
                partMb,
                listen,
                leaseMs,
                keepEndedS,
                lingerMs,
                faultTolerance));
    }

    private static String or(String flag, String given) {
        return flag.isEmpty() ? given : flag;
    }
}
