package org.woadvale.controlplane.partition;

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
    static final int MOST_STEPS = 256;
    static final int MOST_KNOWN = 4096;
    static final int MOST_REFUSED = 256;

    /** One taken configuration. */
    public record Step(
            long version,
            String requestId,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** What a request id was used for. */
    public record Known(String requestId, long version, String digest) {}

    /** An order that built on a version ahead of the present one: refused, also once that version is reached. */
    public record RefusedOrder(String requestId, long base) {}

    private final int mostBytes;
    private final List<Step> steps = new ArrayList<>();
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final Set<RefusedOrder> refused = new LinkedHashSet<>();
    private long bytes;

    ConfigurationLog(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    public long version() {
        return steps.isEmpty() ? 0 : steps.get(steps.size() - 1).version();
    }

    public List<Step> steps() {
        return new ArrayList<>(steps);
    }

    List<Known> known() {
        return new ArrayList<>(known.values());
    }

    List<RefusedOrder> refused() {
        return new ArrayList<>(refused);
    }

    /** An older build's view has the steps only. */
    void restore(List<Step> from, List<Known> ids, List<RefusedOrder> refusedOrders) {
        steps.clear();
        known.clear();
        refused.clear();
        refused.addAll(refusedOrders);
        bytes = 0;
        ids.forEach(this::remember);
        from.forEach(s -> {
            add(s);
            if (!known.containsKey(s.requestId())) {
                remember(new Known(s.requestId(), s.version(), digest(s)));
            }
        });
    }

    /** What the operator sent: the original where there is one. */
    private static String digest(byte[] configuration, byte[] original) {
        return Configurations.sha256(original.length > 0 ? original : configuration);
    }

    private static String digest(Step s) {
        return digest(s.configuration(), s.original());
    }

    private void remember(Known k) {
        known.put(k.requestId(), k);
        if (known.size() > MOST_KNOWN) {
            known.remove(known.keySet().iterator().next());
        }
    }

    private void add(Step s) {
        steps.add(s);
        bytes += size(s);
        while (steps.size() > 1 && (steps.size() > MOST_STEPS || bytes > mostBytes)) {
            bytes -= size(steps.remove(0));
        }
    }

    private static int size(Step s) {
        return s.configuration().length + s.original().length;
    }

    /** Decides an order; the same order again has the decision that it had. design 6.11 */
    Object put(ControlMessages.PutConfiguration order) {
        String digest = digest(order.configuration(), order.original());
        Optional<Known> before = before(order, digest);
        if (before.isPresent()) {
            return before.get().digest().equals(digest)
                    ? new ControlMessages.ConfigurationTaken(before.get().version(), true)
                    : new ServiceException(ErrorKind.CONFLICT, "This request id was used for another layout.");
        }
        RefusedOrder identity = new RefusedOrder(order.requestId(), order.base());
        if (order.base() > version()) {
            refuseForGood(identity);
        }
        if (order.base() != version() || refused.contains(identity)) {
            return staleBase(order.base());
        }
        if (order.revision() != 0 && order.revision() <= version()) {
            return revisionTooLow(order.revision());
        }
        long next = order.revision() == 0 ? version() + 1 : order.revision();
        add(new Step(next, order.requestId(), order.author(), order.configuration(), order.original()));
        remember(new Known(order.requestId(), next, digest));
        return new ControlMessages.ConfigurationTaken(next, false);
    }

    /** Builds before named an order with an original by its text alone. */
    private Optional<Known> before(ControlMessages.PutConfiguration order, String digest) {
        Optional<Known> byId = Optional.ofNullable(known.get(order.requestId()));
        return byId.isPresent() || order.original().length == 0 ? byId : Optional.ofNullable(known.get(digest));
    }

    /** The version that such an order builds on may still be reached; other refused ones can never be taken later. */
    private void refuseForGood(RefusedOrder identity) {
        refused.add(identity);
        if (refused.size() > MOST_REFUSED) {
            refused.remove(refused.iterator().next());
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
