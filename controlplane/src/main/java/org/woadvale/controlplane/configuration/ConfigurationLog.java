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
 * The accepted revisions of the configuration in order, and which updates were decided how, so that a repeated update
 * has the answer that it had. All three are bounded: the oldest go first.
 */
public final class ConfigurationLog {
    /** So many revisions are kept at the most. */
    static final int MAX_REVISIONS = 256;
    /** So many accepted updates are remembered. */
    public static final int MAX_ACCEPTED = 4096;
    /** So many rejected updates are remembered. */
    public static final int MAX_REJECTED = 256;

    /** Names and digests of one update that is remembered, at the most. */
    private static final int REMEMBERED_UPDATE_BYTES = 160;
    /** What a snapshot has beside configurations and remembered updates: members, lists, identity. */
    private static final int SNAPSHOT_OVERHEAD_BYTES = 16 << 10;

    /** One accepted configuration; the original is what the operator sent, where that was translated. */
    public record ConfigurationRevision(
            long version,
            String requestId,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** What a request id was used for, by the digest of the content. */
    public record AcceptedUpdate(String requestId, long version, String digest) {}

    /** An update that built on a version ahead of the present one: rejected, also once that version is reached. */
    public record RejectedUpdate(String requestId, long base) {}

    private final int maxHistoryBytes;
    private final List<ConfigurationRevision> revisions = new ArrayList<>();
    private final Map<String, AcceptedUpdate> acceptedUpdates = new LinkedHashMap<>();
    private final Set<RejectedUpdate> rejectedUpdates = new LinkedHashSet<>();
    private long bytes;

    /** Without any revision; the revisions that are kept have so many bytes at the most. */
    public ConfigurationLog(int maxHistoryBytes) {
        this.maxHistoryBytes = maxHistoryBytes;
    }

    /** The version of the newest revision; 0 if there is none. */
    public long version() {
        return revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).version();
    }

    /** The revisions that are kept, the oldest first. */
    public List<ConfigurationRevision> revisions() {
        return new ArrayList<>(revisions);
    }

    /** The accepted updates that are remembered, the oldest first. */
    public List<AcceptedUpdate> acceptedUpdates() {
        return new ArrayList<>(acceptedUpdates.values());
    }

    /** The rejected updates that are remembered, the oldest first. */
    public List<RejectedUpdate> rejectedUpdates() {
        return new ArrayList<>(rejectedUpdates);
    }

    /** Replaces everything; a snapshot of an older build has the revisions only. */
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

    /** What the operator sent: the original where there is one. */
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
     * Decides an update; the same update again has the decision that it had.
     *
     * @throws ServiceException STALE_BASE if it builds on another version than the present one, CONFLICT if its request
     *     id stands for other content, INVALID_LAYOUT if its revision is not above the present one
     */
    public ControlMessages.ConfigurationAccepted put(ControlMessages.PutConfiguration update) throws ServiceException {
        String digest = digest(update.configuration(), update.original());
        Optional<AcceptedUpdate> before = repeatOf(update, digest);
        if (before.isPresent()) {
            if (!before.get().digest().equals(digest)) {
                throw new ConflictException("This request id was used for another layout.");
            }
            return new ControlMessages.ConfigurationAccepted(before.get().version(), true);
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
     * Why an update must not go into the log: it is refused whatever comes, or there is no room for it now, or ever.
     * Empty for what the log decides.
     *
     * @param largestRecordBytes the most bytes that a snapshot with the entries after it can have; 0 for no bound
     * @param unappliedBytes bytes of the entries that are in the log and not applied
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
        long rest = SNAPSHOT_OVERHEAD_BYTES + rememberedBytes();
        long stateAfter = rest + updateBytes + update.configuration().length;
        if (largestRecordBytes > 0 && stateAfter + updateBytes > largestRecordBytes) {
            return Optional.of(tooLarge(updateBytes));
        }
        long stateNow = rest + bytes + newestConfigurationBytes();
        if (largestRecordBytes > 0 && stateNow + unappliedBytes + updateBytes > largestRecordBytes) {
            return Optional.of(new UnavailableException("Other updates are being stored; come back later."));
        }
        return Optional.empty();
    }

    /** The newest configuration is in the state twice: as a revision, and as what nodes are told. */
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

    /** Earlier builds named an update with an original by its content alone. */
    private Optional<AcceptedUpdate> repeatOf(ControlMessages.PutConfiguration update, String digest) {
        Optional<AcceptedUpdate> byId = Optional.ofNullable(acceptedUpdates.get(update.requestId()));
        return byId.isPresent() || update.original().length == 0
                ? byId
                : Optional.ofNullable(acceptedUpdates.get(digest));
    }

    /**
     * The version that such an update builds on may still be reached; other rejected ones can never be accepted later.
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
