package org.woadvale.testkit.explore.history;

import java.util.List;

/**
 * Puts and reads of a configuration as clients observed them, checked against a register with compare-and-set over
 * version names. Each put names the version that it is based on and the version that it creates. Calls may overlap.
 */
public final class ConfigurationHistory {
    private final String firstVersion;
    private final OperationRecorder<RegisterInput, RegisterOutcome> recorder = new OperationRecorder<>();

    public ConfigurationHistory(String firstVersion) {
        this.firstVersion = firstVersion;
    }

    /** A put was sent; its outcome is unknown until a response is recorded. */
    public synchronized long putSent(String baseVersion, String nextVersion) {
        return recorder.invoke(new RegisterInput.Put(baseVersion, nextVersion));
    }

    /** A read was sent. */
    public synchronized long readSent() {
        return recorder.invoke(new RegisterInput.Read());
    }

    /** The put was accepted. */
    public synchronized void putAccepted(long call) {
        recorder.complete(call, new RegisterOutcome.Accepted());
    }

    /** The put was definitively refused because its base was not the current version. */
    public synchronized void putRefused(long call) {
        recorder.complete(call, new RegisterOutcome.Refused());
    }

    /** The read returned a version. */
    public synchronized void readReturned(long call, String version) {
        recorder.complete(call, new RegisterOutcome.Value(version));
    }

    /** The call was refused for now or was never sent, so it has no effect. */
    public synchronized void notExecuted(long call) {
        recorder.discard(call);
    }

    public synchronized boolean linearizable() {
        return LinearizabilityChecker.check(new RegisterModel(firstVersion), recorder.history());
    }

    public synchronized List<Operation<RegisterInput, RegisterOutcome>> operations() {
        return recorder.history();
    }
}
