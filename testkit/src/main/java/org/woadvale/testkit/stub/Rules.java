package org.woadvale.testkit.stub;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks each rule of docs/rules.md against what was observed from outside; an empty list means no violation. */
public final class Rules {
    private final ObservationLog log;

    public Rules(ObservationLog log) {
        this.log = log;
    }

    public Map<String, List<String>> all() {
        Map<String, List<String>> out = new TreeMap<>();
        RunRules runs = new RunRules(log);
        out.put("ORDER", runs.outOfOrder());
        out.put("TWICE read", runs.repeatedAfterRead());
        out.put("TWICE leases", runs.endedByTwoLeases());
        out.put("REFUSED", runs.refusedButRan());
        out.put("UNASKED", runs.alteredRequests());
        out.put("ROUTE", runs.routeNotAllowed());
        out.put("DRAIN", runs.drainingInstanceUsed());
        ConfigurationRules configurations = new ConfigurationRules(log);
        out.put("CONFIG revoked", configurations.revokedKeyUsed());
        out.put("CONFIG ignored", configurations.ignored());
        out.put("CONFIG back", configurations.revertedToOlder());
        out.put("CONFIG taken", configurations.wronglyAcknowledged());
        out.put("CONFIG read", configurations.wrongFinalRead());
        ConfigurationUpdateRules updates = new ConfigurationUpdateRules(log);
        out.put("CONFIG orders decided twice", updates.decidedTwice());
        out.put("CONFIG orders successions", updates.lostUpdates());
        out.put("CONFIG orders refused in force", updates.refusedInForce());
        out.put("CONFIG orders stale reads", updates.staleReads());
        LimitRules limits = new LimitRules(log);
        out.put("QUOTA", limits.tenantQuotaExceeded());
        out.put("CEILING", limits.serviceRateExceeded());
        EndRules ends = new EndRules(log);
        out.put("LOST", ends.lost());
        out.put("LOST answers", ends.unanswered());
        out.put("MIXED", ends.inconsistentAnswers());
        return out;
    }

    public List<String> violations() {
        return all().entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(v -> entry.getKey() + ": " + v))
                .toList();
    }

    /** The names of the broken rules. */
    public List<String> broken() {
        return all().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }
}
