package org.woadvale.testkit.explore.history;

import java.util.Optional;

/** The sequential specification of a register with compare-and-set. */
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
    public String stepWithoutOutcome(String state, RegisterInput input) {
        boolean applies = input instanceof RegisterInput.Put put && put.base().equals(state);
        return applies ? ((RegisterInput.Put) input).next() : state;
    }
}
