package org.woadvale.operator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.cluster.StubEnvironment;

/** Runs the shipped runbooks against a test fleet and performs their manual steps in code. */
final class RunbookHarness {
    /** A step that the operator performs manually; throws if it cannot be done. */
    interface ManualStep {
        void run(String instruction) throws IOException;
    }

    private final class ScriptedOperator implements OperatorIo {
        @Override
        public boolean confirmDone(String instruction) {
            transcript.add(instruction);
            try {
                manualStep.run(instruction);
            } catch (IOException e) {
                return false;
            }
            return true;
        }

        @Override
        public void print(String line) {
            transcript.add(line);
        }

        @Override
        public Duration now() {
            return environment.times.monotonicTime();
        }

        @Override
        public void sleep(Duration duration) {
            LockSupport.parkNanos(duration.toNanos());
        }
    }

    private final StubEnvironment environment;
    private final List<String> transcript = new ArrayList<>();
    private ManualStep manualStep = instruction -> {};

    RunbookHarness(StubEnvironment environment) {
        this.environment = environment;
    }

    /** Sets the action that performs the manual steps of later runbooks. */
    void byHand(ManualStep step) {
        manualStep = step;
    }

    /** Runs a runbook to its end; if a step fails, the test fails with the transcript. */
    void run(String name, Map<String, String> values) throws ServiceException {
        transcript.clear();
        assertTrue(
                new RunbookRunner(this::send, new ScriptedOperator(), "", false).run(Runbooks.load(name), values),
                () -> name + ": " + String.join("\n", transcript));
    }

    HttpTransport.HttpResult send(String method, String url, Map<String, String> headers, byte[] body)
            throws IOException {
        String rest = url.substring("http://".length());
        int slash = rest.indexOf('/');
        try {
            var answer = environment
                    .client
                    .send(method, rest.substring(0, slash), rest.substring(slash), "", body, headers)
                    .join();
            Map<String, String> firstValues = new HashMap<>();
            answer.headers()
                    .forEach((header, values) -> firstValues.put(header.toLowerCase(Locale.ROOT), values.get(0)));
            return new HttpTransport.HttpResult(answer.status(), firstValues, answer.body());
        } catch (CompletionException e) {
            throw new IOException(String.valueOf(e.getCause()));
        }
    }
}
