package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.explore.history.Operation;
import org.woadvale.testkit.explore.history.OperationRecorder;
import org.woadvale.testkit.explore.history.RegisterInput;
import org.woadvale.testkit.explore.history.RegisterOutcome;

/** Clients of the replicated register: what they asked, and what they were answered. */
final class Clients {
    private final ModelCluster cluster;
    private final OperationRecorder<RegisterInput, RegisterOutcome> recorder = new OperationRecorder<>();
    private int proposed;
    private long acknowledged;
    private Duration lastProposal = Duration.ZERO;

    Clients(ModelCluster cluster) {
        this.cluster = cluster;
    }

    /** A put on what the node's machine holds at present, whether the node leads or not. */
    void propose(ModelNode node) {
        proposed++;
        lastProposal = cluster.now();
        String base = node.machine().value();
        String next = "v" + proposed;
        long call = recorder.invoke(new RegisterInput.Put(base, next));
        node.replica()
                .propose(RegisterMachine.put(base, next), String.class)
                .subscribe(answer -> answered(call, answer), error -> failed(call, error));
    }

    private void answered(long call, String answer) {
        if (answer.startsWith(RegisterMachine.ACCEPTED)) {
            acknowledged = Math.max(acknowledged, Long.parseLong(answer.substring(RegisterMachine.ACCEPTED.length())));
            recorder.complete(call, new RegisterOutcome.Accepted());
        } else {
            recorder.complete(call, new RegisterOutcome.Refused());
        }
    }

    /** A definite refusal never takes effect; anything else may still do so at any time. */
    private void failed(long call, Throwable error) {
        if (ServiceException.of(cluster.expected(error)).kind().definite()) {
            recorder.withdraw(call);
        }
    }

    /** Reads at every node that answers reads; the reads are part of the history. */
    void readEverywhere() {
        for (ModelNode node : cluster.nodes()) {
            if (!node.frozen()) {
                read(node);
            }
        }
    }

    private void read(ModelNode node) {
        long call = recorder.invoke(new RegisterInput.Read());
        node.replica()
                .read(applied -> node.machine().value())
                .subscribe(
                        value -> recorder.complete(call, new RegisterOutcome.Value(value)),
                        error -> recorder.withdraw(call));
    }

    List<Operation<RegisterInput, RegisterOutcome>> history() {
        return new ArrayList<>(recorder.history());
    }

    int proposed() {
        return proposed;
    }

    Duration sinceLastProposal() {
        return cluster.now().minus(lastProposal);
    }

    /** How many puts the register had accepted when the latest acknowledged one was. */
    long acknowledged() {
        return acknowledged;
    }
}
