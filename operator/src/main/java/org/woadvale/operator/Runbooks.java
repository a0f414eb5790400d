package org.woadvale.operator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** Finds and checks runbooks: the shipped ones by name, others by file. */
final class Runbooks {
    static final List<String> SHIPPED = List.of(
            "put-layout",
            "withdraw-key",
            "rolling-restart",
            "replace-store",
            "replace-lighthouse",
            "drain-processor",
            "check-after-outage");

    private Runbooks() {}

    static Runbook load(String nameOrFile) throws ServiceException {
        Runbook b = Configurations.read(bytes(nameOrFile), Runbook.class, ErrorKind.BAD_REQUEST);
        List<String> faults = new ArrayList<>(Configurations.faults(b));
        if (faults.isEmpty()) {
            faults.addAll(crossFaults(b));
        }
        if (!faults.isEmpty()) {
            throw new ServiceException(
                    ErrorKind.BAD_REQUEST, "The runbook " + nameOrFile + " has " + faults.size() + " faults.", faults);
        }
        return b;
    }

    private static byte[] bytes(String nameOrFile) throws ServiceException {
        try {
            if (SHIPPED.contains(nameOrFile)) {
                try (InputStream in = Runbooks.class.getResourceAsStream("/runbooks/" + nameOrFile + ".json")) {
                    return in.readAllBytes();
                }
            }
            return Files.readAllBytes(Path.of(nameOrFile));
        } catch (IOException e) {
            throw new ServiceException(ErrorKind.NOT_FOUND, "There is no runbook " + nameOrFile + "; see tender list.");
        }
    }

    /** Every value used must be needed, kept before, or the turn's own. */
    private static List<String> crossFaults(Runbook b) {
        List<String> out = new ArrayList<>();
        Set<String> known = new HashSet<>(b.needs().keySet());
        for (int i = 0; i < b.steps().size(); i++) {
            Runbook.Step s = b.steps().get(i);
            Set<String> here = new HashSet<>(known);
            if (!s.each().isEmpty()) {
                here.add("it");
            }
            String at = "steps[" + i + "]";
            if (s.asks() && s.url().isEmpty()) {
                out.add(at + ".url: missing");
            }
            if (s.kind() == Runbook.Kind.REMOVE
                    && (s.from().isEmpty() || s.pointer().isEmpty())) {
                out.add(at + ": REMOVE needs from and pointer");
            }
            Matcher m = Variables.USE.matcher(s.url()
                    + s.body()
                    + s.headers().values()
                    + s.expect().equals()
                    + s.pointer()
                    + s.title()
                    + (s.each().isEmpty() ? "" : "${" + s.each() + "}")
                    + (s.from().isEmpty() ? "" : "${" + s.from() + "}"));
            while (m.find()) {
                if (!here.contains(m.group(1))) {
                    out.add(at + ": ${" + m.group(1) + "} is neither needed nor kept before");
                }
            }
            known.addAll(s.keep().keySet());
        }
        return out;
    }
}
