package org.woadvale.testkit.explore.history;

import java.util.Optional;

/** A register with compare-and-set, as one caller at a time sees it. */
public record RegisterModel(String initial) implements SequentialModel<String, RegisterInput, RegisterOutcome> {
    @Override
    public Optional<String> step(String state, RegisterInput input, RegisterOutcome outcome) {
        if (outcome instanceof RegisterOutcome.Value read) {
            return read.value().equals(state) ? Optional.of(state) : Optional.empty();
        }
        RegisterInput.Put put = (RegisterInput.Put) input;
        boolean accepted = outcome instanceof RegisterOutcome.Accepted;
        if (accepted != put.base().equals(state)) {
            return Optional.empty();
        }
        return Optional.of(accepted ? put.next() : state);
    }

    @Override
    public String stepUnseen(String state, RegisterInput input) {
        boolean sets = input instanceof RegisterInput.Put put && put.base().equals(state);
        return sets ? ((RegisterInput.Put) input).next() : state;
    }
}
