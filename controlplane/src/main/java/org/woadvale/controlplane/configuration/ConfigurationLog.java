package org.woadvale.controlplane.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** Versions of the configuration in order; a repeated request id gets the answer it had. Both are bounded. design 6.4 */
public final class ConfigurationLog {
    static final int MAX_REVISIONS = 256;
    public static final int MAX_ACCEPTED = 4096;
    public static final int MAX_REJECTED = 256;

    /** One taken configuration. */
    public record ConfigurationRevision(
            long version,
            String requestId,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** What a request id was used for. */
    public record AcceptedUpdate(String requestId, long version, String digest) {}

    /** An order that built on a version ahead of the present one: refused, also once that version is reached. */
    public record RejectedUpdate(String requestId, long base) {}

    private final int maxHistoryBytes;
    private final List<ConfigurationRevision> revisions = new ArrayList<>();
    private final Map<String, AcceptedUpdate> acceptedUpdates = new LinkedHashMap<>();
    private final Set<RejectedUpdate> rejectedUpdates = new LinkedHashSet<>();
    private long bytes;

    public ConfigurationLog(int mostBytes) {
        this.maxHistoryBytes = mostBytes;
    }

    public long version() {
        return revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).version();
    }

    public List<ConfigurationRevision> revisions() {
        return new ArrayList<>(revisions);
    }

    public List<AcceptedUpdate> acceptedUpdates() {
        return new ArrayList<>(acceptedUpdates.values());
    }

    public List<RejectedUpdate> rejectedUpdates() {
        return new ArrayList<>(rejectedUpdates);
    }

    /** An older build's view has the steps only. */
    public void restore(
            List<ConfigurationRevision> from, List<AcceptedUpdate> ids, List<RejectedUpdate> refusedOrders) {
        revisions.clear();
        acceptedUpdates.clear();
        rejectedUpdates.clear();
        rejectedUpdates.addAll(refusedOrders);
        bytes = 0;
        ids.forEach(this::remember);
        from.forEach(revision -> {
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

    /** Decides an order; the same order again has the decision that it had. design 6.11 */
    public Object put(ControlMessages.PutConfiguration order) {
        String digest = digest(order.configuration(), order.original());
        Optional<AcceptedUpdate> before = repeatOf(order, digest);
        if (before.isPresent()) {
            return before.get().digest().equals(digest)
                    ? new ControlMessages.ConfigurationAccepted(before.get().version(), true)
                    : new ServiceException(ErrorKind.CONFLICT, "This request id was used for another layout.");
        }
        RejectedUpdate identity = new RejectedUpdate(order.requestId(), order.base());
        if (order.base() > version()) {
            rejectPermanently(identity);
        }
        if (order.base() != version() || rejectedUpdates.contains(identity)) {
            return staleBase(order.base());
        }
        if (order.revision() != 0 && order.revision() <= version()) {
            return revisionTooLow(order.revision());
        }
        long next = order.revision() == 0 ? version() + 1 : order.revision();
        add(new ConfigurationRevision(
                next, order.requestId(), order.author(), order.configuration(), order.original()));
        remember(new AcceptedUpdate(order.requestId(), next, digest));
        return new ControlMessages.ConfigurationAccepted(next, false);
    }

    /** Builds before named an order with an original by its text alone. */
    private Optional<AcceptedUpdate> repeatOf(ControlMessages.PutConfiguration order, String digest) {
        Optional<AcceptedUpdate> byId = Optional.ofNullable(acceptedUpdates.get(order.requestId()));
        return byId.isPresent() || order.original().length == 0
                ? byId
                : Optional.ofNullable(acceptedUpdates.get(digest));
    }

    /** The version that such an order builds on may still be reached; other refused ones can never be taken later. */
    private void rejectPermanently(RejectedUpdate identity) {
        rejectedUpdates.add(identity);
        if (rejectedUpdates.size() > MAX_REJECTED) {
            rejectedUpdates.remove(rejectedUpdates.iterator().next());
        }
    }

    private ServiceException staleBase(long base) {
        return new ServiceException(
                ErrorKind.STALE_BASE,
                "The base version " + base + " is not the present one, " + version() + ".",
                List.of(Long.toString(version())));
    }

    private ServiceException revisionTooLow(long revision) {
        return new ServiceException(
                ErrorKind.INVALID_LAYOUT,
                "The revision " + revision + " is not above the present one, " + version() + ".",
                List.of("revision: must be above " + version()));
    }
}
