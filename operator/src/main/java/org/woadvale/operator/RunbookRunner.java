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
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** Runs a checked runbook step by step and stops at the first that fails: design 11.1. */
final class RunbookRunner {
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
    boolean run(Runbook b, Map<String, String> given) {
        List<String> missing = b.needs().keySet().stream()
                .filter(n -> !given.containsKey(n))
                .sorted()
                .toList();
        if (!missing.isEmpty()) {
            note("STOP: missing values " + missing + ".");
            return false;
        }
        Variables v = new Variables(given);
        for (int i = 0; i < b.steps().size(); ) {
            Runbook.Step s = b.steps().get(i);
            int end = i + 1;
            while (!s.each().isEmpty()
                    && end < b.steps().size()
                    && b.steps().get(end).each().equals(s.each())) {
                end++;
            }
            if (!runEach(b.steps().subList(i, end), s.each(), v)) {
                return false;
            }
            i = end;
        }
        note(dry ? "Dry run: nothing was changed." : "Done: " + b.name() + ".");
        return true;
    }

    /** Steps with the same list run together for each of its items. */
    private boolean runEach(List<Runbook.Step> steps, String each, Variables v) {
        List<String> items = each.isEmpty() ? List.of("") : List.of(v.get(each).split(","));
        for (String item : items) {
            Variables here = each.isEmpty() ? v : v.with("it", item.trim());
            for (Runbook.Step s : steps) {
                try {
                    step(s, here);
                } catch (ServiceException e) {
                    note("STOP at \"" + here.fill(s.title()) + "\": " + e.getMessage());
                    return false;
                }
            }
        }
        return true;
    }

    private void step(Runbook.Step s, Variables v) throws ServiceException {
        String what = s.kind() + " " + v.fill(s.title());
        if (dry && s.kind() != Runbook.Kind.REQUIRE) {
            note("would " + what + (s.asks() ? ": " + s.method() + " " + v.fill(s.url()) : ""));
            return;
        }
        switch (s.kind()) {
            case REQUIRE -> keep(s, runOnce(s, v), v);
            case ASK, WAIT -> keep(s, waitUntil(s, v), v);
            case REMOVE -> remove(s, v);
            case PERSON -> {
                if (!processors.done(v.fill(s.title()))) {
                    throw new ServiceException(ErrorKind.CONFLICT, "not confirmed");
                }
            }
            default -> throw new ServiceException(ErrorKind.BAD_REQUEST, "unknown kind");
        }
        note("ok " + what);
    }

    private HttpTransport.HttpResult runOnce(Runbook.Step s, Variables v) throws ServiceException {
        Map<String, String> headers = new TreeMap<>();
        s.headers().forEach((k, x) -> headers.put(k, v.fill(x)));
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        HttpTransport.HttpResult g;
        try {
            g = wire.send(s.method(), v.fill(s.url()), headers, v.fill(s.body()).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new ServiceException(
                    ErrorKind.UNREACHABLE, "no answer from " + v.fill(s.url()) + " (" + e.getMessage() + ")");
        }
        String found = s.expect().pointer().isEmpty()
                ? ""
                : json(g.body()).at(v.fill(s.expect().pointer())).asText("");
        if (g.status() != s.expect().status()) {
            boolean later = g.status() == 429 || g.status() >= 500;
            throw new ServiceException(
                    later ? ErrorKind.UNAVAILABLE : ErrorKind.CONFLICT,
                    "answer " + g.status() + ", expected " + s.expect().status() + ": "
                            + new String(g.body(), StandardCharsets.UTF_8));
        }
        if (!s.expect().pointer().isEmpty() && !found.equals(v.fill(s.expect().equals()))) {
            throw new ServiceException(
                    ErrorKind.CONFLICT,
                    v.fill(s.expect().pointer()) + " is \"" + found + "\", expected \""
                            + v.fill(s.expect().equals()) + "\"");
        }
        return g;
    }

    /** A wait asks until it holds; an action is asked again only where the answer was to come back later. */
    private HttpTransport.HttpResult waitUntil(Runbook.Step s, Variables v) throws ServiceException {
        Duration end = processors.now().plusMillis(s.withinMs());
        while (true) {
            try {
                return runOnce(s, v);
            } catch (ServiceException e) {
                if (s.kind() == Runbook.Kind.ASK && !e.kind().retryable()) {
                    throw e;
                }
                if (processors.now().compareTo(end) >= 0) {
                    throw new ServiceException(e.kind(), "not within " + s.withinMs() + " ms: " + e.getMessage());
                }
                processors.sleep(AGAIN);
            }
        }
    }

    /** A pointer keeps that field, "header:NAME" a header, "body" the whole answer. */
    private static void keep(Runbook.Step s, HttpTransport.HttpResult g, Variables v) {
        s.keep()
                .forEach((name, where) -> v.put(
                        name,
                        where.equals("body")
                                ? new String(g.body(), StandardCharsets.UTF_8)
                                : where.startsWith("header:")
                                        ? g.headers()
                                                .getOrDefault(where.substring(7).toLowerCase(java.util.Locale.ROOT), "")
                                        : json(g.body()).at(where).asText("")));
    }

    private static void remove(Runbook.Step s, Variables v) throws ServiceException {
        JsonNode doc = json(v.get(s.from()).getBytes(StandardCharsets.UTF_8));
        JsonPointer p = JsonPointer.compile(v.fill(s.pointer()));
        JsonNode parent = doc.at(p.head());
        if (!(parent instanceof ObjectNode o) || !o.has(p.last().getMatchingProperty())) {
            throw new ServiceException(ErrorKind.NOT_FOUND, "there is nothing at " + p);
        }
        o.remove(p.last().getMatchingProperty());
        v.put(s.from(), new String(Configurations.write(doc), StandardCharsets.UTF_8));
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.JSON.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
