package org.woadvale.testkit.explore.history;

import java.util.List;

/**
 * Orders and reads of a configuration as clients saw them, checked as a register with compare-and-set over version
 * names. Each order names the version that it was made from and the one that it makes; calls may overlap.
 */
public final class ConfigurationHistory {
    private final String firstVersion;
    private final OperationRecorder<RegisterInput, RegisterOutcome> recorder = new OperationRecorder<>();

    public ConfigurationHistory(String firstVersion) {
        this.firstVersion = firstVersion;
    }

    /** An order is sent; without a later answer its outcome is unknown. */
    public synchronized long order(String baseVersion, String nextVersion) {
        return recorder.invoke(new RegisterInput.Put(baseVersion, nextVersion));
    }

    /** A read is sent. */
    public synchronized long read() {
        return recorder.invoke(new RegisterInput.Read());
    }

    /** The order was answered with yes. */
    public synchronized void confirmed(long call) {
        recorder.complete(call, new RegisterOutcome.Accepted());
    }

    /** The order was answered with no, for good: its base was not the present version. */
    public synchronized void refused(long call) {
        recorder.complete(call, new RegisterOutcome.Refused());
    }

    /** The read was answered with a version. */
    public synchronized void returned(long call, String version) {
        recorder.complete(call, new RegisterOutcome.Value(version));
    }

    /** The call was answered with "later", or not sent at all: it has no effect. */
    public synchronized void notTaken(long call) {
        recorder.withdraw(call);
    }

    public synchronized boolean linearizable() {
        return LinearizabilityChecker.check(new RegisterModel(firstVersion), recorder.history());
    }

    public synchronized List<Operation<RegisterInput, RegisterOutcome>> operations() {
        return recorder.history();
    }
}
