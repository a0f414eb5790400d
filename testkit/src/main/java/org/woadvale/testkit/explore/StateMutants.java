package org.woadvale.testkit.explore;

import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.StateMachine;

/** Engines whose state machines break their contract. */
final class StateMutants {
    private StateMutants() {}

    /** A snapshot is taken and not applied. */
    static Mutant snapshotNotApplied() {
        return new Mutant() {
            @Override
            public StateMachine<String, String> machine(ModelNode node, StateMachine<String, String> machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public void restore(byte[] view) {}
                };
            }
        };
    }

    /** A command is answered, and forgotten by every replica. */
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

    /** A put that was applied is answered as refused. */
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

    /** Hands everything on. */
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
        public void restore(byte[] view) {
            machine.restore(view);
        }
    }
}
