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

/** The measurements that the command line requests, validated before the first run. (docs/design.md, section 10.1) */
final class MeasurementPlan {
    static final String NODES = "nodes";

    /** The command-line options before validation. */
    @Command(name = "capacity", description = "Measures the resource usage of the control plane as a function of size")
    public static final class Options {
        @Option(name = "--only", description = "Comma-separated mechanisms; all by default")
        private String only = "";

        @Option(name = "--sizes", description = "Comma-separated sizes, at least four; requires a single mechanism")
        private String sizes = "";

        @Option(name = "--nodes", description = "Short for --only nodes --sizes")
        private String nodes = "";

        @Option(
                name = "--largest",
                description = "Nodes of an additional run that is compared with the forecast of the fitted line")
        private int largest;

        @Option(name = "--out", description = "Folder for the plots")
        private String out = "docs/capacity";
    }

    private final Map<Mechanism, List<Integer>> sizesByMechanism = new LinkedHashMap<>();
    private final Map<Mechanism, String> names = new LinkedHashMap<>();
    private final int largestSize;
    private final Path outputFolder;

    private MeasurementPlan(Options options, long allowed) throws ServiceException {
        List<String> only = splitCommas(options.nodes.isEmpty() ? options.only : NODES);
        List<String> sizes = splitCommas(options.nodes.isEmpty() ? options.sizes : options.nodes);
        Map<String, Supplier<Mechanism>> all = mechanisms();
        for (String name : only.isEmpty() ? all.keySet() : only) {
            if (!all.containsKey(name)) {
                throw invalid("There is no mechanism " + name + "; there are " + String.join(", ", all.keySet()) + ".");
            }
            Mechanism mechanism = all.get(name).get();
            names.put(mechanism, name);
            sizesByMechanism.put(mechanism, sizes.isEmpty() ? mechanism.defaultSizes() : parseSizes(sizes));
        }
        if (!sizes.isEmpty() && sizesByMechanism.size() != 1) {
            throw invalid("Sizes belong to one mechanism: name it with --only.");
        }
        largestSize = options.largest;
        outputFolder = Path.of(options.out);
        if (largestSize < 0 || largestSize > 0 && !names.containsValue(NODES)) {
            throw invalid("The largest run is a number of nodes over zero, and needs the mechanism nodes.");
        }
        for (Map.Entry<Mechanism, List<Integer>> entry : sizesByMechanism.entrySet()) {
            for (int size : entry.getValue()) {
                checkFits(entry.getKey(), size, allowed);
            }
            if (names.get(entry.getKey()).equals(NODES) && largestSize > 0) {
                checkFits(entry.getKey(), largestSize, allowed);
            }
        }
    }

    static Map<String, Supplier<Mechanism>> mechanisms() {
        Map<String, Supplier<Mechanism>> mechanisms = new LinkedHashMap<>();
        mechanisms.put(NODES, FleetRuns::nodes);
        mechanisms.put("nodes-32-tenants", FleetRuns::nodesOfManyTenants);
        mechanisms.put("tenants", FleetRuns::tenants);
        mechanisms.put("destinations", FleetRuns::destinations);
        mechanisms.put("changes", FleetRuns::changes);
        mechanisms.put("passes", FleetRuns::passes);
        mechanisms.put("parts", PartitionReplicas::new);
        mechanisms.put("backlog", Backlog::new);
        mechanisms.put("events", Events::new);
        mechanisms.put("wires", TcpRequests::new);
        return mechanisms;
    }

    /** Parses and validates the command line; {@code allowed} is the heap that a run may use, in bytes. */
    static MeasurementPlan parse(String[] args, long allowed) throws ServiceException {
        try {
            return new MeasurementPlan(
                    SingleCommand.singleCommand(Options.class).parse(args), allowed);
        } catch (ParseException e) {
            throw invalid(e.getMessage());
        }
    }

    private static ServiceException invalid(String why) {
        return new InvalidRequestException(why);
    }

    private static List<String> splitCommas(String commas) {
        return commas.isEmpty()
                ? List.of()
                : Arrays.stream(commas.split(",", -1)).map(String::trim).toList();
    }

    private static List<Integer> parseSizes(List<String> sizes) throws ServiceException {
        for (String s : sizes) {
            if (!s.matches("[1-9][0-9]{0,7}")) {
                throw invalid("A size is a whole number from 1 to 99999999, not \"" + s + "\".");
            }
        }
        List<Integer> out =
                sizes.stream().map(Integer::valueOf).distinct().sorted().collect(Collectors.toList());
        if (out.size() < LinearFit.MIN_POINTS) {
            throw invalid(
                    "A line needs " + LinearFit.MIN_POINTS + " different sizes at least, not " + out.size() + ".");
        }
        return out;
    }

    private void checkFits(Mechanism mechanism, int size, long allowed) throws ServiceException {
        if (size > mechanism.maxSize()) {
            throw invalid(size + " " + mechanism.sizeLabel() + " are more than the " + mechanism.maxSize()
                    + " that can be run.");
        }
        if (mechanism.estimatedHeapBytes(size) > allowed) {
            throw invalid(
                    size + " " + mechanism.sizeLabel() + " need about " + (mechanism.estimatedHeapBytes(size) >> 20)
                            + " MB of heap, and " + (allowed >> 20) + " MB may be used.");
        }
    }

    Map<Mechanism, List<Integer>> sizesByMechanism() {
        return sizesByMechanism;
    }

    String nameOf(Mechanism mechanism) {
        return names.get(mechanism);
    }

    /** The nodes of the additional run; zero if there is none. */
    int largestSize() {
        return largestSize;
    }

    Path outputFolder() {
        return outputFolder;
    }
}
