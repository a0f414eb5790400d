package org.woadvale.controlplane.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.InvalidConfigurationException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.StaleVersionException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.Since;

/**
 * The accepted revisions of the configuration in order, and the decisions on earlier updates, so that a repeated update
 * gets the same answer. Revisions, accepted and rejected updates are bounded; the oldest are dropped first.
 */
public final class ConfigurationLog {
    /** Maximum number of retained revisions. */
    static final int MAX_REVISIONS = 256;
    /** Maximum number of remembered accepted updates. */
    public static final int MAX_ACCEPTED = 4096;
    /** Maximum number of remembered rejected updates. */
    public static final int MAX_REJECTED = 256;

    /** Upper bound on the size of one remembered update, with its request id and digest. */
    private static final int REMEMBERED_UPDATE_BYTES = 160;
    /**
     * Allowance for the parts of a snapshot other than configurations and remembered updates: members, lists, identity.
     */
    private static final int SNAPSHOT_OVERHEAD_BYTES = 16 << 10;

    /**
     * One accepted configuration; the original is the document that the operator sent, empty if it was not translated.
     */
    public record ConfigurationRevision(
            long version,
            String requestId,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** An accepted update: its request id, the resulting version, and the digest of its content. */
    public record AcceptedUpdate(String requestId, long version, String digest) {}

    /**
     * An update based on a version ahead of the current one; it stays rejected even after that version has been
     * reached.
     */
    public record RejectedUpdate(String requestId, long base) {}

    private final int maxHistoryBytes;
    private final List<ConfigurationRevision> revisions = new ArrayList<>();
    private final Map<String, AcceptedUpdate> acceptedUpdates = new LinkedHashMap<>();
    private final Set<RejectedUpdate> rejectedUpdates = new LinkedHashSet<>();
    private long bytes;

    /**
     * Creates an empty log. The retained revisions take at most the given number of bytes, except that the newest is
     * always retained.
     */
    public ConfigurationLog(int maxHistoryBytes) {
        this.maxHistoryBytes = maxHistoryBytes;
    }

    /** The version of the newest revision; 0 if there is none. */
    public long version() {
        return revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).version();
    }

    /** The retained revisions, oldest first. */
    public List<ConfigurationRevision> revisions() {
        return new ArrayList<>(revisions);
    }

    /** The remembered accepted updates, oldest first. */
    public List<AcceptedUpdate> acceptedUpdates() {
        return new ArrayList<>(acceptedUpdates.values());
    }

    /** The remembered rejected updates, oldest first. */
    public List<RejectedUpdate> rejectedUpdates() {
        return new ArrayList<>(rejectedUpdates);
    }

    /** Replaces the whole state; a snapshot of an older build contains only the revisions. */
    public void restore(
            List<ConfigurationRevision> history, List<AcceptedUpdate> accepted, List<RejectedUpdate> rejected) {
        revisions.clear();
        acceptedUpdates.clear();
        rejectedUpdates.clear();
        rejectedUpdates.addAll(rejected);
        bytes = 0;
        accepted.forEach(this::remember);
        history.forEach(revision -> {
            add(revision);
            if (!acceptedUpdates.containsKey(revision.requestId())) {
                remember(new AcceptedUpdate(revision.requestId(), revision.version(), digest(revision)));
            }
        });
    }

    /** The digest of what the operator sent: of the original if there is one. */
    private static String digest(byte[] configuration, byte[] original) {
        return Configurations.sha256(original.length > 0 ? original : configuration);
    }

    private static String digest(ConfigurationRevision revision) {
        return digest(revision.configuration(), revision.original());
    }

    private void remember(AcceptedUpdate update) {
        acceptedUpdates.put(update.requestId(), update);
        if (acceptedUpdates.size() > MAX_ACCEPTED) {
            acceptedUpdates.remove(acceptedUpdates.keySet().iterator().next());
        }
    }

    private void add(ConfigurationRevision revision) {
        revisions.add(revision);
        bytes += size(revision);
        while (revisions.size() > 1 && (revisions.size() > MAX_REVISIONS || bytes > maxHistoryBytes)) {
            bytes -= size(revisions.remove(0));
        }
    }

    private static int size(ConfigurationRevision revision) {
        return revision.configuration().length + revision.original().length;
    }

    /**
     * Decides an update; a repeated update gets the same decision.
     *
     * @throws ServiceException STALE_BASE if the update is not based on the current version, CONFLICT if its
     *     request id was used for other content, INVALID_LAYOUT if its revision is not above the current one
     */
    public ControlMessages.ConfigurationAccepted put(ControlMessages.PutConfiguration update) throws ServiceException {
        String digest = digest(update.configuration(), update.original());
        Optional<AcceptedUpdate> previous = repeatOf(update, digest);
        if (previous.isPresent()) {
            if (!previous.get().digest().equals(digest)) {
                throw new ConflictException("This request id was used for another layout.");
            }
            return new ControlMessages.ConfigurationAccepted(previous.get().version(), true);
        }
        RejectedUpdate identity = new RejectedUpdate(update.requestId(), update.base());
        if (update.base() > version()) {
            rejectPermanently(identity);
        }
        if (update.base() != version() || rejectedUpdates.contains(identity)) {
            throw staleBase(update.base());
        }
        if (update.revision() != 0 && update.revision() <= version()) {
            throw revisionTooLow(update.revision());
        }
        long next = update.revision() == 0 ? version() + 1 : update.revision();
        add(new ConfigurationRevision(
                next, update.requestId(), update.author(), update.configuration(), update.original()));
        remember(new AcceptedUpdate(update.requestId(), next, digest));
        return new ControlMessages.ConfigurationAccepted(next, false);
    }

    /**
     * Returns why an update must not be written to the log: it would be rejected in any case, there is currently no
     * room for it, or it is too large to ever be stored. Empty for an update that the log decides.
     *
     * @param largestRecordBytes the maximum size of a snapshot together with the entries after it; 0 for no limit
     * @param unappliedBytes the size of the entries that are in the log but not yet applied
     */
    public Optional<ServiceException> rejectionReason(
            ControlMessages.PutConfiguration update, int largestRecordBytes, long unappliedBytes) {
        if (repeatOf(update, digest(update.configuration(), update.original())).isPresent()) {
            return Optional.empty();
        }
        if (update.base() < version()) {
            return Optional.of(staleBase(update.base()));
        }
        long updateBytes = update.configuration().length + update.original().length;
        long overheadBytes = SNAPSHOT_OVERHEAD_BYTES + rememberedBytes();
        long stateAfter = overheadBytes + updateBytes + update.configuration().length;
        if (largestRecordBytes > 0 && stateAfter + updateBytes > largestRecordBytes) {
            return Optional.of(tooLarge(updateBytes));
        }
        long stateNow = overheadBytes + bytes + newestConfigurationBytes();
        if (largestRecordBytes > 0 && stateNow + unappliedBytes + updateBytes > largestRecordBytes) {
            return Optional.of(new UnavailableException("Other updates are being stored; come back later."));
        }
        return Optional.empty();
    }

    /** The newest configuration is in the state twice: as a revision, and in the service view that nodes receive. */
    private long newestConfigurationBytes() {
        return revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).configuration().length;
    }

    private long rememberedBytes() {
        return (long) REMEMBERED_UPDATE_BYTES * (acceptedUpdates.size() + rejectedUpdates.size());
    }

    private static ServiceException tooLarge(long updateBytes) {
        return new InvalidConfigurationException(
                "The configuration is larger than can be stored.",
                List.of("the document: " + updateBytes + " bytes as it is kept"));
    }

    /**
     * Finds the earlier update that this one repeats. Earlier builds identified an update with an original by the
     * digest of its content alone.
     */
    private Optional<AcceptedUpdate> repeatOf(ControlMessages.PutConfiguration update, String digest) {
        Optional<AcceptedUpdate> byId = Optional.ofNullable(acceptedUpdates.get(update.requestId()));
        return byId.isPresent() || update.original().length == 0
                ? byId
                : Optional.ofNullable(acceptedUpdates.get(digest));
    }

    /**
     * Remembers the rejection of an update based on a version that may still be reached; updates rejected for other
     * reasons can never be accepted later.
     */
    private void rejectPermanently(RejectedUpdate identity) {
        rejectedUpdates.add(identity);
        if (rejectedUpdates.size() > MAX_REJECTED) {
            rejectedUpdates.remove(rejectedUpdates.iterator().next());
        }
    }

    private ServiceException staleBase(long base) {
        return new StaleVersionException(
                "The base version " + base + " is not the present one, " + version() + ".",
                List.of(Long.toString(version())));
    }

    private ServiceException revisionTooLow(long revision) {
        return new InvalidConfigurationException(
                "The revision " + revision + " is not above the present one, " + version() + ".",
                List.of("revision: must be above " + version()));
    }
}
