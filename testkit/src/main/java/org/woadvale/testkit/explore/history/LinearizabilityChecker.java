package org.woadvale.testkit.explore.history;

import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a history is linearizable: whether its calls can be ordered so that the order respects their times
 * and the sequential model allows it. Uses the search of Wing and Gong with Lowe's memoization of the visited pairs of
 * linearized calls and state.
 */
public final class LinearizabilityChecker<S, I, O> {
    private record Visited<T>(BitSet linearized, T state) {}

    private final SequentialModel<S, I, O> model;
    private final List<Operation<I, O>> operations;
    private final Set<Visited<S>> visited = new HashSet<>();
    private final BitSet linearized = new BitSet();

    private LinearizabilityChecker(SequentialModel<S, I, O> model, List<Operation<I, O>> history) {
        this.model = model;
        this.operations = history.stream()
                .sorted(Comparator.comparingLong(Operation::invoked))
                .toList();
    }

    /** True if the history is linearizable. */
    public static <S, I, O> boolean check(SequentialModel<S, I, O> model, List<Operation<I, O>> history) {
        return new LinearizabilityChecker<>(model, history).search(model.initial());
    }

    /** The depth of the recursion is at most the number of calls. */
    private boolean search(S state) {
        if (!visited.add(new Visited<>((BitSet) linearized.clone(), state))) {
            return false;
        }
        long earliestResponse = earliestResponse();
        if (earliestResponse == Operation.NEVER) {
            return true;
        }
        for (int i = linearized.nextClearBit(0); i < operations.size(); i = linearized.nextClearBit(i + 1)) {
            Operation<I, O> operation = operations.get(i);
            if (operation.invoked() > earliestResponse) {
                return false;
            }
            Optional<S> next = nextState(state, operation);
            if (next.isPresent() && searchWith(i, next.get())) {
                return true;
            }
        }
        return false;
    }

    private boolean searchWith(int operation, S next) {
        linearized.set(operation);
        boolean found = search(next);
        linearized.clear(operation);
        return found;
    }

    /** A call without a response is linearized only where it changes the state; elsewhere it need not take effect. */
    private Optional<S> nextState(S state, Operation<I, O> operation) {
        if (operation.outcome().isPresent()) {
            return model.step(state, operation.input(), operation.outcome().get());
        }
        S next = model.stepWithoutOutcome(state, operation.input());
        return next.equals(state) ? Optional.empty() : Optional.of(next);
    }

    /** The earliest response of the calls that are not linearized yet; NEVER if no completed call is left. */
    private long earliestResponse() {
        long earliest = Operation.NEVER;
        for (int i = linearized.nextClearBit(0); i < operations.size(); i = linearized.nextClearBit(i + 1)) {
            earliest = Math.min(earliest, operations.get(i).responded());
        }
        return earliest;
    }
}
