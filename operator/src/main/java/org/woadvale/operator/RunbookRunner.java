package org.woadvale.operator;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.http.Status;

/** Runs a validated runbook step by step and stops at the first failure (docs/design.md, section 11.1). */
final class RunbookRunner {
    /** Prefix of a keep entry that names a response header. */
    private static final String HEADER_PREFIX = "header:";

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);
    private final HttpTransport transport;
    private final OperatorIo operator;
    private final String key;
    private final boolean dryRun;
    private final List<String> record = new ArrayList<>();

    RunbookRunner(HttpTransport transport, OperatorIo operator, String key, boolean dryRun) {
        this.transport = transport;
        this.operator = operator;
        this.key = key;
        this.dryRun = dryRun;
    }

    List<String> record() {
        return record;
    }

    private void note(String line) {
        record.add(line);
        operator.print(line);
    }

    /** Returns true if every step succeeded. */
    boolean run(Runbook runbook, Map<String, String> given) {
        List<String> missing = runbook.needs().keySet().stream()
                .filter(name -> !given.containsKey(name))
                .sorted()
                .toList();
        if (!missing.isEmpty()) {
            note("STOP: missing values " + missing + ".");
            return false;
        }
        Variables variables = new Variables(given);
        for (int i = 0; i < runbook.steps().size(); ) {
            Runbook.Step step = runbook.steps().get(i);
            int end = i + 1;
            while (!step.each().isEmpty()
                    && end < runbook.steps().size()
                    && runbook.steps().get(end).each().equals(step.each())) {
                end++;
            }
            if (!runEach(runbook.steps().subList(i, end), step.each(), variables)) {
                return false;
            }
            i = end;
        }
        note(dryRun ? "Dry run: nothing was changed." : "Done: " + runbook.name() + ".");
        return true;
    }

    /** Runs consecutive steps with the same list together, once for each item of the list. */
    private boolean runEach(List<Runbook.Step> steps, String each, Variables variables) {
        List<String> items =
                each.isEmpty() ? List.of("") : List.of(variables.get(each).split(","));
        for (String item : items) {
            Variables scope = each.isEmpty() ? variables : variables.with("it", item.trim());
            for (Runbook.Step step : steps) {
                try {
                    step(step, scope);
                } catch (ServiceException failure) {
                    note("STOP at \"" + scope.substitute(step.title()) + "\": " + failure.getMessage());
                    return false;
                }
            }
        }
        return true;
    }

    private void step(Runbook.Step step, Variables variables) throws ServiceException {
        String description = step.kind() + " " + variables.substitute(step.title());
        if (dryRun && step.kind() != Runbook.Kind.REQUIRE) {
            note("would " + description
                    + (step.sendsRequest() ? ": " + step.method() + " " + variables.substitute(step.url()) : ""));
            return;
        }
        switch (step.kind()) {
            case REQUIRE -> keep(step, runOnce(step, variables), variables);
            case ASK, WAIT -> keep(step, waitUntil(step, variables), variables);
            case REMOVE -> remove(step, variables);
            case PERSON -> {
                if (!operator.confirmDone(variables.substitute(step.title()))) {
                    throw new ConflictException("the operator did not confirm the step");
                }
            }
            default -> throw new InvalidRequestException("unknown step kind");
        }
        note("ok " + description);
    }

    private HttpTransport.HttpResult runOnce(Runbook.Step step, Variables variables) throws ServiceException {
        Map<String, String> headers = new TreeMap<>();
        step.headers().forEach((header, value) -> headers.put(header, variables.substitute(value)));
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        HttpTransport.HttpResult result;
        try {
            result = transport.send(
                    step.method(),
                    variables.substitute(step.url()),
                    headers,
                    variables.substitute(step.body()).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UnreachableException(
                    "no response from " + variables.substitute(step.url()) + " (" + e.getMessage() + ")");
        }
        String found = step.expect().pointer().isEmpty()
                ? ""
                : json(result.body())
                        .at(variables.substitute(step.expect().pointer()))
                        .asText("");
        if (result.status() != step.expect().status()) {
            boolean retryable = result.status() == Status.TOO_MANY_REQUESTS || result.status() >= Status.INTERNAL_ERROR;
            throw ServiceException.of(
                    retryable ? ErrorKind.UNAVAILABLE : ErrorKind.CONFLICT,
                    "status " + result.status() + ", expected " + step.expect().status() + ": "
                            + new String(result.body(), StandardCharsets.UTF_8),
                    List.of());
        }
        if (!step.expect().pointer().isEmpty()
                && !found.equals(variables.substitute(step.expect().equals()))) {
            throw new ConflictException(variables.substitute(step.expect().pointer()) + " is \"" + found
                    + "\", expected \"" + variables.substitute(step.expect().equals()) + "\"");
        }
        return result;
    }

    /**
     * Repeats a WAIT request until the response is as expected, an ASK request only after a retryable error; withinMs
     * limits the time of both.
     */
    private HttpTransport.HttpResult waitUntil(Runbook.Step step, Variables variables) throws ServiceException {
        Duration end = operator.now().plusMillis(step.withinMs());
        while (true) {
            try {
                return runOnce(step, variables);
            } catch (ServiceException failure) {
                if (step.kind() == Runbook.Kind.ASK && !failure.kind().retryable()) {
                    throw failure;
                }
                if (operator.now().compareTo(end) >= 0) {
                    throw ServiceException.of(
                            failure.kind(),
                            "not within " + step.withinMs() + " ms: " + failure.getMessage(),
                            List.of());
                }
                operator.sleep(RETRY_INTERVAL);
            }
        }
    }

    /** Stores response values: a JSON pointer selects a field, "header:NAME" a header, "body" the complete body. */
    private static void keep(Runbook.Step step, HttpTransport.HttpResult result, Variables variables) {
        step.keep()
                .forEach((name, source) -> variables.put(
                        name,
                        source.equals("body")
                                ? new String(result.body(), StandardCharsets.UTF_8)
                                : source.startsWith(HEADER_PREFIX)
                                        ? result.headers()
                                                .getOrDefault(
                                                        source.substring(HEADER_PREFIX.length())
                                                                .toLowerCase(Locale.ROOT),
                                                        "")
                                        : json(result.body()).at(source).asText("")));
    }

    private static void remove(Runbook.Step step, Variables variables) throws ServiceException {
        JsonNode document = json(variables.get(step.from()).getBytes(StandardCharsets.UTF_8));
        JsonPointer pointer = JsonPointer.compile(variables.substitute(step.pointer()));
        JsonNode parent = document.at(pointer.head());
        if (!(parent instanceof ObjectNode object) || !object.has(pointer.last().getMatchingProperty())) {
            throw new NotFoundException("the document has no value at " + pointer);
        }
        object.remove(pointer.last().getMatchingProperty());
        variables.put(step.from(), new String(Configurations.write(document), StandardCharsets.UTF_8));
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
