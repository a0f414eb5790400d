package org.woadvale.testkit.capacity;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;

/** What the command line asks for, checked before anything is started. (docs/design.md, section 10.1) */
final class Wanted {
    static final String NODES = "nodes";

    /** The options as they were written. */
    @Command(name = "capacity", description = "Measures what control costs against sizes")
    public static final class Options {
        @Option(name = "--only", description = "Mechanisms, by comma; all unless told")
        private String controlNode = "";

        @Option(name = "--sizes", description = "Sizes by comma, four at least; with one mechanism only")
        private String sizes = "";

        @Option(name = "--nodes", description = "The same as --only nodes --sizes")
        private String nodes = "";

        @Option(name = "--largest", description = "Nodes of one more run, forecast by the line of the others")
        private int largest;

        @Option(name = "--out", description = "Folder for the plots")
        private String out = "docs/capacity";
    }

    private final Map<Mechanism, List<Integer>> runs = new LinkedHashMap<>();
    private final Map<Mechanism, String> names = new LinkedHashMap<>();
    private final int largest;
    private final Path out;

    private Wanted(Options options, long allowed) throws ServiceException {
        List<String> only = list(options.nodes.isEmpty() ? options.controlNode : NODES);
        List<String> sizes = list(options.nodes.isEmpty() ? options.sizes : options.nodes);
        Map<String, Supplier<Mechanism>> all = all();
        for (String name : only.isEmpty() ? all.keySet() : only) {
            if (!all.containsKey(name)) {
                throw bad("There is no mechanism " + name + "; there are " + String.join(", ", all.keySet()) + ".");
            }
            Mechanism mechanism = all.get(name).get();
            names.put(mechanism, name);
            runs.put(mechanism, sizes.isEmpty() ? mechanism.sizes() : checked(sizes));
        }
        if (!sizes.isEmpty() && runs.size() != 1) {
            throw bad("Sizes belong to one mechanism: name it with --only.");
        }
        largest = options.largest;
        out = Path.of(options.out);
        if (largest < 0 || largest > 0 && !names.containsValue(NODES)) {
            throw bad("The largest run is a number of nodes over zero, and needs the mechanism nodes.");
        }
        for (Map.Entry<Mechanism, List<Integer>> entry : runs.entrySet()) {
            for (int size : entry.getValue()) {
                fits(entry.getKey(), size, allowed);
            }
            if (names.get(entry.getKey()).equals(NODES) && largest > 0) {
                fits(entry.getKey(), largest, allowed);
            }
        }
    }

    static Map<String, Supplier<Mechanism>> all() {
        Map<String, Supplier<Mechanism>> m = new LinkedHashMap<>();
        m.put(NODES, FleetRuns::nodes);
        m.put("nodes-32-tenants", FleetRuns::nodesOfManyTenants);
        m.put("tenants", FleetRuns::tenants);
        m.put("destinations", FleetRuns::destinations);
        m.put("changes", FleetRuns::changes);
        m.put("passes", FleetRuns::passes);
        m.put("parts", Parts::new);
        m.put("backlog", Backlog::new);
        m.put("events", Events::new);
        m.put("wires", Wires::new);
        return m;
    }

    /** Refuses with one sentence; so much heap in bytes may be used. */
    static Wanted of(String[] args, long allowed) throws ServiceException {
        try {
            return new Wanted(SingleCommand.singleCommand(Options.class).parse(args), allowed);
        } catch (ParseException e) {
            throw bad(e.getMessage());
        }
    }

    private static ServiceException bad(String why) {
        return new InvalidRequestException(why);
    }

    private static List<String> list(String commas) {
        return commas.isEmpty()
                ? List.of()
                : Arrays.stream(commas.split(",", -1)).map(String::trim).toList();
    }

    private static List<Integer> checked(List<String> sizes) throws ServiceException {
        for (String s : sizes) {
            if (!s.matches("[1-9][0-9]{0,7}")) {
                throw bad("A size is a whole number from 1 to 99999999, not \"" + s + "\".");
            }
        }
        List<Integer> out =
                sizes.stream().map(Integer::valueOf).distinct().sorted().collect(Collectors.toList());
        if (out.size() < Fit.FEWEST) {
            throw bad("A line needs " + Fit.FEWEST + " different sizes at least, not " + out.size() + ".");
        }
        return out;
    }

    private void fits(Mechanism mechanism, int size, long allowed) throws ServiceException {
        if (size > mechanism.most()) {
            throw bad(size + " " + mechanism.counts() + " are more than the " + mechanism.most() + " that can be run.");
        }
        if (mechanism.needs(size) > allowed) {
            throw bad(size + " " + mechanism.counts() + " need about " + (mechanism.needs(size) >> 20)
                    + " MB of heap, and " + (allowed >> 20) + " MB may be used.");
        }
    }

    Map<Mechanism, List<Integer>> runs() {
        return runs;
    }

    String name(Mechanism mechanism) {
        return names.get(mechanism);
    }

    /** Zero where no such run is wanted. */
    int largest() {
        return largest;
    }

    Path out() {
        return out;
    }
}
