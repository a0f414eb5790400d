package org.woadvale.testkit.explore.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records calls and responses in the order in which they are observed. Not thread-safe. */
public final class OperationRecorder<I, O> {
    private final Map<Long, Operation<I, O>> operations = new TreeMap<>();
    private long lastPosition;

    /** Records the start of a call and returns the id of the call for the other methods. */
    public long invoke(I input) {
        lastPosition++;
        operations.put(lastPosition, Operation.unknown(lastPosition, input));
        return lastPosition;
    }

    /** Records the response to a call. */
    public void complete(long call, O outcome) {
        lastPosition++;
        operations.computeIfPresent(
                call, (invoked, pending) -> Operation.completed(invoked, lastPosition, pending.input(), outcome));
    }

    /** Removes a call that certainly has no effect, now or later. */
    public void discard(long call) {
        operations.remove(call);
    }

    /** All calls so far in the order of invocation; calls without a response have an unknown outcome. */
    public List<Operation<I, O>> history() {
        return new ArrayList<>(operations.values());
    }
}
