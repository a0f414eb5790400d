package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.explore.history.Operation;
import org.woadvale.testkit.explore.history.OperationRecorder;
import org.woadvale.testkit.explore.history.RegisterInput;
import org.woadvale.testkit.explore.history.RegisterOutcome;

/** Clients of the replicated register; records their operations and the results. */
final class Clients {
    private final ModelCluster cluster;
    private final OperationRecorder<RegisterInput, RegisterOutcome> recorder = new OperationRecorder<>();
    private int proposed;
    private long acknowledged;
    private Duration lastProposal = Duration.ZERO;

    Clients(ModelCluster cluster) {
        this.cluster = cluster;
    }

    /** Proposes a put based on the current value of the node's state machine, whether or not the node leads. */
    void propose(ModelNode node) {
        proposed++;
        lastProposal = cluster.now();
        String base = node.machine().value();
        String next = "v" + proposed;
        long call = recorder.invoke(new RegisterInput.Put(base, next));
        node.replica()
                .propose(RegisterMachine.put(base, next), String.class)
                .subscribe(result -> recordReply(call, result), error -> recordFailure(call, error));
    }

    private void recordReply(long call, String result) {
        if (result.startsWith(RegisterMachine.ACCEPTED)) {
            acknowledged = Math.max(acknowledged, Long.parseLong(result.substring(RegisterMachine.ACCEPTED.length())));
            recorder.complete(call, new RegisterOutcome.Accepted());
        } else {
            recorder.complete(call, new RegisterOutcome.Refused());
        }
    }

    /** A put that failed with a definite error never takes effect; after any other error it may still do so later. */
    private void recordFailure(long call, Throwable error) {
        if (ServiceException.of(cluster.recordIfUnexpected(error)).kind().definite()) {
            recorder.discard(call);
        }
    }

    /** Reads from every node that is not frozen. Successful reads are part of the history. */
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
                        error -> recorder.discard(call));
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

    /** The highest number of accepted puts that an acknowledged put has reported. */
    long acknowledged() {
        return acknowledged;
    }
}
