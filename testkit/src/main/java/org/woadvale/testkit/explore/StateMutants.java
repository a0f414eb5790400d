package org.woadvale.testkit.explore;

import org.woadvale.common.replication.StateMachine;

/** Engines whose state machines break their contract. */
final class StateMutants {
    private StateMutants() {}

    /** A snapshot is taken and not applied. */
    static Mutant snapshotNotApplied() {
        return new Mutant() {
            @Override
            public StateMachine machine(ModelNode node, StateMachine machine) {
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
            public StateMachine machine(ModelNode node, StateMachine machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public Object apply(long index, Object command) {
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
            public StateMachine machine(ModelNode node, StateMachine machine) {
                return new ForwardingMachine(machine) {
                    @Override
                    public Object apply(long index, Object command) {
                        super.apply(index, command);
                        return RegisterMachine.REFUSED;
                    }
                };
            }
        };
    }

    /** Hands everything on. */
    private abstract static class ForwardingMachine implements StateMachine {
        private final StateMachine machine;

        ForwardingMachine(StateMachine machine) {
            this.machine = machine;
        }

        @Override
        public Object apply(long index, Object command) {
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
