package org.woadvale.testkit.explore.history;

import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a history has an order of its calls that respects their times and that the sequential model allows.
 * The search is that of Wing and Gong with the visited pairs of placed calls and state remembered, as Lowe proposed.
 */
public final class LinearizabilityChecker<S, I, O> {
    private record Visited<T>(BitSet placed, T state) {}

    private final SequentialModel<S, I, O> model;
    private final List<Operation<I, O>> operations;
    private final Set<Visited<S>> visited = new HashSet<>();
    private final BitSet placed = new BitSet();

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

    /** The recursion is as deep as there are calls. */
    private boolean search(S state) {
        if (!visited.add(new Visited<>((BitSet) placed.clone(), state))) {
            return false;
        }
        long earliestResponse = earliestResponse();
        if (earliestResponse == Operation.NEVER) {
            return true;
        }
        for (int i = placed.nextClearBit(0); i < operations.size(); i = placed.nextClearBit(i + 1)) {
            Operation<I, O> operation = operations.get(i);
            if (operation.invoked() > earliestResponse) {
                return false;
            }
            Optional<S> next = after(state, operation);
            if (next.isPresent() && searchWith(i, next.get())) {
                return true;
            }
        }
        return false;
    }

    private boolean searchWith(int operation, S next) {
        placed.set(operation);
        boolean found = search(next);
        placed.clear(operation);
        return found;
    }

    /** A call that nobody saw answered is placed only where it has an effect: elsewhere it may as well never happen. */
    private Optional<S> after(S state, Operation<I, O> operation) {
        if (operation.outcome().isPresent()) {
            return model.step(state, operation.input(), operation.outcome().get());
        }
        S next = model.stepUnseen(state, operation.input());
        return next.equals(state) ? Optional.empty() : Optional.of(next);
    }

    /** Of the calls that are not placed yet; NEVER if all that were answered are placed. */
    private long earliestResponse() {
        long earliest = Operation.NEVER;
        for (int i = placed.nextClearBit(0); i < operations.size(); i = placed.nextClearBit(i + 1)) {
            earliest = Math.min(earliest, operations.get(i).responded());
        }
        return earliest;
    }
}
