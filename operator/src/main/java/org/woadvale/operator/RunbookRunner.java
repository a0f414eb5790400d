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

/** Runs a checked runbook step by step and stops at the first that fails (docs/design.md, section 11.1). */
final class RunbookRunner {
    /** Begins the place of a header among what a step keeps. */
    private static final String HEADER = "header:";

    private static final Duration AGAIN = Duration.ofMillis(300);
    private final HttpTransport wire;
    private final OperatorIo processors;
    private final String key;
    private final boolean dry;
    private final List<String> record = new ArrayList<>();

    RunbookRunner(HttpTransport wire, OperatorIo processors, String key, boolean dry) {
        this.wire = wire;
        this.processors = processors;
        this.key = key;
        this.dry = dry;
    }

    List<String> record() {
        return record;
    }

    private void note(String line) {
        record.add(line);
        processors.print(line);
    }

    /** True when every step succeeded. */
    boolean run(Runbook runbook, Map<String, String> given) {
        List<String> missing = runbook.needs().keySet().stream()
                .filter(n -> !given.containsKey(n))
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
        note(dry ? "Dry run: nothing was changed." : "Done: " + runbook.name() + ".");
        return true;
    }

    /** Steps with the same list run together for each of its items. */
    private boolean runEach(List<Runbook.Step> steps, String each, Variables variables) {
        List<String> items =
                each.isEmpty() ? List.of("") : List.of(variables.get(each).split(","));
        for (String item : items) {
            Variables here = each.isEmpty() ? variables : variables.with("it", item.trim());
            for (Runbook.Step step : steps) {
                try {
                    step(step, here);
                } catch (ServiceException failure) {
                    note("STOP at \"" + here.substitute(step.title()) + "\": " + failure.getMessage());
                    return false;
                }
            }
        }
        return true;
    }

    private void step(Runbook.Step step, Variables variables) throws ServiceException {
        String what = step.kind() + " " + variables.substitute(step.title());
        if (dry && step.kind() != Runbook.Kind.REQUIRE) {
            note("would " + what
                    + (step.sendsRequest() ? ": " + step.method() + " " + variables.substitute(step.url()) : ""));
            return;
        }
        switch (step.kind()) {
            case REQUIRE -> keep(step, runOnce(step, variables), variables);
            case ASK, WAIT -> keep(step, waitUntil(step, variables), variables);
            case REMOVE -> remove(step, variables);
            case PERSON -> {
                if (!processors.confirmDone(variables.substitute(step.title()))) {
                    throw new ConflictException("not confirmed");
                }
            }
            default -> throw new InvalidRequestException("unknown kind");
        }
        note("ok " + what);
    }

    private HttpTransport.HttpResult runOnce(Runbook.Step step, Variables variables) throws ServiceException {
        Map<String, String> headers = new TreeMap<>();
        step.headers().forEach((k, x) -> headers.put(k, variables.substitute(x)));
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        HttpTransport.HttpResult result;
        try {
            result = wire.send(
                    step.method(),
                    variables.substitute(step.url()),
                    headers,
                    variables.substitute(step.body()).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UnreachableException(
                    "no answer from " + variables.substitute(step.url()) + " (" + e.getMessage() + ")");
        }
        String found = step.expect().pointer().isEmpty()
                ? ""
                : json(result.body())
                        .at(variables.substitute(step.expect().pointer()))
                        .asText("");
        if (result.status() != step.expect().status()) {
            boolean later = result.status() == Status.TOO_MANY_REQUESTS || result.status() >= Status.INTERNAL_ERROR;
            throw ServiceException.of(
                    later ? ErrorKind.UNAVAILABLE : ErrorKind.CONFLICT,
                    "answer " + result.status() + ", expected " + step.expect().status() + ": "
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

    /** A wait asks until it holds; an action is asked again only where the answer was to come back later. */
    private HttpTransport.HttpResult waitUntil(Runbook.Step step, Variables variables) throws ServiceException {
        Duration end = processors.now().plusMillis(step.withinMs());
        while (true) {
            try {
                return runOnce(step, variables);
            } catch (ServiceException failure) {
                if (step.kind() == Runbook.Kind.ASK && !failure.kind().retryable()) {
                    throw failure;
                }
                if (processors.now().compareTo(end) >= 0) {
                    throw ServiceException.of(
                            failure.kind(),
                            "not within " + step.withinMs() + " ms: " + failure.getMessage(),
                            List.of());
                }
                processors.sleep(AGAIN);
            }
        }
    }

    /** A pointer keeps that field, "header:NAME" a header, "body" the whole answer. */
    private static void keep(Runbook.Step step, HttpTransport.HttpResult result, Variables variables) {
        step.keep()
                .forEach((name, where) -> variables.put(
                        name,
                        where.equals("body")
                                ? new String(result.body(), StandardCharsets.UTF_8)
                                : where.startsWith(HEADER)
                                        ? result.headers()
                                                .getOrDefault(
                                                        where.substring(HEADER.length())
                                                                .toLowerCase(Locale.ROOT),
                                                        "")
                                        : json(result.body()).at(where).asText("")));
    }

    private static void remove(Runbook.Step step, Variables variables) throws ServiceException {
        JsonNode doc = json(variables.get(step.from()).getBytes(StandardCharsets.UTF_8));
        JsonPointer pointer = JsonPointer.compile(variables.substitute(step.pointer()));
        JsonNode parent = doc.at(pointer.head());
        if (!(parent instanceof ObjectNode object) || !object.has(pointer.last().getMatchingProperty())) {
            throw new NotFoundException("there is nothing at " + pointer);
        }
        object.remove(pointer.last().getMatchingProperty());
        variables.put(step.from(), new String(Configurations.write(doc), StandardCharsets.UTF_8));
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
