package org.woadvale.testkit.explore.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes down calls and answers in the order in which they are seen; for use by one thread at a time. */
public final class OperationRecorder<I, O> {
    private final Map<Long, Operation<I, O>> operations = new TreeMap<>();
    private long place;

    /** A call begins; the number returned names it in the other methods. */
    public long invoke(I input) {
        place++;
        operations.put(place, Operation.unknown(place, input));
        return place;
    }

    /** The call was answered now. */
    public void complete(long call, O outcome) {
        place++;
        operations.computeIfPresent(call, (key, open) -> Operation.completed(key, place, open.input(), outcome));
    }

    /** The call certainly has no effect, now or later. */
    public void withdraw(long call) {
        operations.remove(call);
    }

    /** All calls so far, by invocation; those without an answer have an unknown outcome. */
    public List<Operation<I, O>> history() {
        return new ArrayList<>(operations.values());
    }
}
