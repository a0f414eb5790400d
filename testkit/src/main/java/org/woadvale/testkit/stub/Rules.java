package org.woadvale.testkit.stub;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One check for each rule of docs/rules.md, on what was seen from outside. Empty answers: nothing was broken. */
public final class Rules {
    private final ObservationLog log;

    public Rules(ObservationLog log) {
        this.log = log;
    }

    public Map<String, List<String>> all() {
        Map<String, List<String>> out = new TreeMap<>();
        RunRules runs = new RunRules(log);
        out.put("ORDER", runs.order());
        out.put("TWICE read", runs.twiceRead());
        out.put("TWICE leases", runs.twiceLeases());
        out.put("REFUSED", runs.refused());
        out.put("UNASKED", runs.unasked());
        out.put("ROUTE", runs.route());
        out.put("DRAIN", runs.drain());
        ConfigurationRules configurationStub = new ConfigurationRules(log);
        out.put("CONFIG revoked", configurationStub.revoked());
        out.put("CONFIG ignored", configurationStub.ignored());
        out.put("CONFIG back", configurationStub.back());
        out.put("CONFIG taken", configurationStub.taken());
        out.put("CONFIG read", configurationStub.readBack());
        OrderRules orders = new OrderRules(log);
        out.put("CONFIG orders decided twice", orders.decidedTwice());
        out.put("CONFIG orders successions", orders.successions());
        out.put("CONFIG orders refused in force", orders.refusedInForce());
        out.put("CONFIG orders stale reads", orders.staleReads());
        LimitRules limits = new LimitRules(log);
        out.put("QUOTA", limits.quota());
        out.put("CEILING", limits.ceiling());
        EndRules ends = new EndRules(log);
        out.put("LOST", ends.lost());
        out.put("LOST answers", ends.unanswered());
        out.put("MIXED", ends.mixed());
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
