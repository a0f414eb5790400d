package org.woadvale.lighthouse.lamp;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.watch.Asks;

/** Versions of the layout in order; a repeated request id gets the answer it had. design 6.4 */
public final class LayoutLog {
    private static final int KEPT = 256;

    /** One taken layout. */
    public record Step(long version, String requestId, String author, byte[] layout) { }

    private final List<Step> steps = new ArrayList<>();

    public long version() {
        return steps.isEmpty() ? 0 : steps.get(steps.size() - 1).version();
    }

    public List<Step> steps() {
        return new ArrayList<>(steps);
    }

    void restore(List<Step> from) {
        steps.clear();
        steps.addAll(from);
    }

    Object put(Asks.PutLayout p) {
        for (Step s : steps) {
            if (s.requestId().equals(p.requestId())) {
                return Arrays.equals(s.layout(), p.layout()) ? new Asks.LayoutTaken(s.version(), true)
                    : new Fault(ErrorKind.CONFLICT, "This request id was used for another layout.");
            }
        }
        if (p.base() != version()) {
            return new Fault(ErrorKind.STALE_BASE, "The base version " + p.base() + " is not the present one, "
                + version() + ".", List.of(Long.toString(version())));
        }
        steps.add(new Step(version() + 1, p.requestId(), p.author(), p.layout()));
        while (steps.size() > KEPT) {
            steps.remove(0);
        }
        return new Asks.LayoutTaken(version(), false);
    }
}
