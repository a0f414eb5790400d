package org.woadvale.controlplane.partition;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.rpc.Since;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** Versions of the configuration in order; a repeated request id gets the answer it had. Both are bounded. design 6.4 */
public final class ConfigurationLog {
    static final int MOST_STEPS = 256;
    static final int MOST_KNOWN = 4096;

    /** One taken configuration. */
    public record Step(
            long version,
            String requestId,
            String author,
            byte[] configuration,
            @Since(3) byte[] original) {}

    /** What a request id was used for. */
    public record Known(String requestId, long version, String digest) {}

    private final int mostBytes;
    private final List<Step> steps = new ArrayList<>();
    private final Map<String, Known> known = new LinkedHashMap<>();
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

    /** An older build's view has the steps only. */
    void restore(List<Step> from, List<Known> ids) {
        steps.clear();
        known.clear();
        bytes = 0;
        ids.forEach(this::remember);
        from.forEach(s -> {
            add(s);
            remember(new Known(s.requestId(), s.version(), digest(s)));
        });
    }

    /** What the operator sent: the original where there is one. */
    private static String digest(byte[] configuration, byte[] original) {
        return Configurations.sha256(
                new String(original.length > 0 ? original : configuration, StandardCharsets.UTF_8));
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

    Object put(ControlMessages.PutConfiguration p) {
        String digest = digest(p.configuration(), p.original());
        Optional<Known> before = Optional.ofNullable(known.get(p.requestId()));
        if (before.isPresent()) {
            return before.get().digest().equals(digest)
                    ? new ControlMessages.ConfigurationTaken(before.get().version(), true)
                    : new ServiceException(ErrorKind.CONFLICT, "This request id was used for another layout.");
        }
        if (p.base() != version()) {
            return new ServiceException(
                    ErrorKind.STALE_BASE,
                    "The base version " + p.base() + " is not the present one, " + version() + ".",
                    List.of(Long.toString(version())));
        }
        if (p.revision() != 0 && p.revision() <= version()) {
            return new ServiceException(
                    ErrorKind.INVALID_LAYOUT,
                    "The revision " + p.revision() + " is not above the present one, " + version() + ".",
                    List.of("revision: must be above " + version()));
        }
        long next = p.revision() == 0 ? version() + 1 : p.revision();
        add(new Step(next, p.requestId(), p.author(), p.configuration(), p.original()));
        remember(new Known(p.requestId(), version(), digest));
        return new ControlMessages.ConfigurationTaken(version(), false);
    }
}
