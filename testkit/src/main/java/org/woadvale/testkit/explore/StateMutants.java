package org.woadvale.testkit.explore;

import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.StateMachine;

/** Mutants whose state machines violate their contract. */
final class StateMutants {
    private StateMutants() {}

    /** A snapshot is received but not applied to the state machine. */
    static Mutant snapshotNotApplied() {
        return new Mutant() {
            @Override
            public StateMachine<String, String> machine(ModelNode node, StateMachine<String, String> machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public void restore(byte[] snapshot) {}
                };
            }
        };
    }

    /** The command at every third log index is acknowledged but not applied on any replica. */
    static Mutant lostCommands() {
        return new Mutant() {
            @Override
            public StateMachine<String, String> machine(ModelNode node, StateMachine<String, String> machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public String apply(long index, String command) throws ServiceException {
                        return index % 3 == 0 ? RegisterMachine.ACCEPTED + index : super.apply(index, command);
                    }
                };
            }
        };
    }

    /** Every command is applied but reported as refused. */
    static Mutant wrongAnswers() {
        return new Mutant() {
            @Override
            public StateMachine<String, String> machine(ModelNode node, StateMachine<String, String> machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public String apply(long index, String command) throws ServiceException {
                        super.apply(index, command);
                        return RegisterMachine.REFUSED;
                    }
                };
            }
        };
    }

    /** Forwards every call to another state machine. */
    private abstract static class ForwardingMachine implements StateMachine<String, String> {
        private final StateMachine<String, String> machine;

        ForwardingMachine(StateMachine<String, String> machine) {
            this.machine = machine;
        }

        @Override
        public Class<String> commandType() {
            return String.class;
        }

        @Override
        public String apply(long index, String command) throws ServiceException {
            return machine.apply(index, command);
        }

        @Override
        public byte[] snapshot() {
            return machine.snapshot();
        }

        @Override
        public void restore(byte[] snapshot) {
            machine.restore(snapshot);
        }
    }
}
