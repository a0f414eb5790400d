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
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;

/** Loads and validates runbooks: shipped ones by name, others by file. */
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
        Runbook runbook = Configurations.read(bytes(nameOrFile), Runbook.class, ErrorKind.BAD_REQUEST);
        List<String> faults = new ArrayList<>(Configurations.faults(runbook));
        if (faults.isEmpty()) {
            faults.addAll(referenceFaults(runbook));
        }
        if (!faults.isEmpty()) {
            throw new InvalidRequestException(
                    "The runbook " + nameOrFile + " has " + faults.size() + " faults.", faults);
        }
        return runbook;
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
            throw new NotFoundException("There is no runbook " + nameOrFile + "; see operator list.");
        }
    }

    /** Each variable used must be listed under needs, stored by an earlier step, or the current item of each. */
    private static List<String> referenceFaults(Runbook runbook) {
        List<String> faults = new ArrayList<>();
        Set<String> defined = new HashSet<>(runbook.needs().keySet());
        for (int i = 0; i < runbook.steps().size(); i++) {
            Runbook.Step step = runbook.steps().get(i);
            Set<String> visible = new HashSet<>(defined);
            if (!step.each().isEmpty()) {
                visible.add("it");
            }
            String path = "steps[" + i + "]";
            if (step.sendsRequest() && step.url().isEmpty()) {
                faults.add(path + ".url: missing");
            }
            if (step.kind() == Runbook.Kind.REMOVE
                    && (step.from().isEmpty() || step.pointer().isEmpty())) {
                faults.add(path + ": REMOVE needs from and pointer");
            }
            Matcher matcher = Variables.REFERENCE.matcher(step.url()
                    + step.body()
                    + step.headers().values()
                    + step.expect().equals()
                    + step.pointer()
                    + step.title()
                    + (step.each().isEmpty() ? "" : "${" + step.each() + "}")
                    + (step.from().isEmpty() ? "" : "${" + step.from() + "}"));
            while (matcher.find()) {
                if (!visible.contains(matcher.group(1))) {
                    faults.add(path + ": ${" + matcher.group(1)
                            + "} is neither listed under needs nor stored by an earlier step");
                }
            }
            defined.addAll(step.keep().keySet());
        }
        return faults;
    }
}
