package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.testkit.stub.TestConfiguration;

/** What the frames between zones weigh, by what they say: see docs/measurements.md. */
public final class TrafficMeter {
    /** About what TCP, IP and the acknowledgement of every other segment add to a frame that travels by itself. */
    private static final int AROUND = 4 + 52 + 26;

    private static final class Load {
        private long frames;
        private long bytes;
    }

    private final Map<String, Load> loads = new TreeMap<>();

    private TrafficMeter() {}

    private void watch(FleetSimulation v) {
        v.w.net.watch((from, to, f, bytes) -> {
            if (!v.w.zone(from).equals(v.w.zone(to))) {
                Load l = loads.computeIfAbsent(f.body().getClass().getSimpleName(), k -> new Load());
                l.frames++;
                l.bytes += bytes;
            }
        });
    }

    private void print(String title, double per) {
        System.out.println(title);
        System.out.println("| frame | frames | bytes | bytes each | with what is around |");
        System.out.println("|---|---|---|---|---|");
        loads.entrySet().stream()
                .sorted(Comparator.comparing(e -> -(e.getValue().bytes + AROUND * e.getValue().frames)))
                .limit(14)
                .forEach(e -> row(e.getKey(), e.getValue(), per));
        Load all = new Load();
        loads.values().forEach(l -> {
            all.frames += l.frames;
            all.bytes += l.bytes;
        });
        row("all", all, per);
    }

    private static void row(String name, Load l, double per) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %.1f | %.0f | %.0f | %.0f |%n",
                name,
                l.frames / per,
                l.bytes / per,
                l.bytes / (double) Math.max(1, l.frames),
                (l.bytes + AROUND * l.frames) / per);
    }

    public static void main(String[] args) throws ServiceException {
        TestConfiguration eight = new TestConfiguration(8, 12, 45, 60, 26);
        FleetSimulation idle = new FleetSimulation(1, 8, 3, 12, eight, World.LARGE_RING).embark();
        idle.w.sim.run(Duration.ofSeconds(30));
        TrafficMeter quiet = new TrafficMeter();
        quiet.watch(idle);
        idle.w.sim.run(Duration.ofSeconds(20));
        quiet.print("An idle fleet of 8 + 3 + 3 in three halls, a second:", 20);
        for (int rate : new int[] {8, 60, 270}) {
            busy(rate, eight);
        }
    }

    private static void busy(int rate, TestConfiguration testConfiguration) throws ServiceException {
        FleetSimulation busy = new FleetSimulation(1, 8, 3, 12, testConfiguration, World.LARGE_RING).embark();
        busy.traffic(rate);
        busy.w.sim.run(Duration.ofSeconds(10));
        long before = busy.kinds().getOrDefault("accepted", 0L);
        TrafficMeter work = new TrafficMeter();
        work.watch(busy);
        busy.w.sim.run(Duration.ofSeconds(20));
        work.print(
                "At " + rate + " messages a second, each message, with its share of what an idle fleet says:",
                busy.kinds().get("accepted") - before);
    }
}
