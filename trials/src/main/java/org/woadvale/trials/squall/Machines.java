package org.woadvale.trials.squall;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.woadvale.trials.buoy.Sightings;

/** The machines of a simulated fleet, whatever runs on them. */
public class Machines {
    public final Sim sim;
    public final SimNet net;
    public final List<String> lighthouses = new ArrayList<>();
    public final List<String> stores = new ArrayList<>();
    public final List<String> intakes = new ArrayList<>();
    final Map<String, Host> hosts = new LinkedHashMap<>();
    final Set<String> lost = new HashSet<>();
    private final Map<String, String> halls = new HashMap<>();
    private final int hallCount;

    Machines(Sim sim, int hallCount) {
        this.sim = sim;
        this.net = new SimNet(sim);
        this.hallCount = hallCount;
    }

    String host(String address, int hall) {
        Host h = new Host(address, sim);
        hosts.put(address, h);
        net.add(h);
        halls.put(address, "hall" + hall % hallCount);
        return address;
    }

    public Host host(String address) {
        return hosts.get(address);
    }

    /** Gone for good. */
    public void lose(String address) {
        kill(address);
        lost.add(address);
    }

    public boolean lost(String address) {
        return lost.contains(address);
    }

    public List<String> presentStores() {
        return stores.stream().filter(s -> !lost.contains(s)).toList();
    }

    public List<String> presentLighthouses() {
        return lighthouses.stream().filter(s -> !lost.contains(s)).toList();
    }

    public String hall(String address) {
        return halls.get(address);
    }

    public void kill(String address) {
        hosts.get(address).kill();
    }

    public List<String> all() {
        return List.copyOf(hosts.keySet());
    }

    /** What a host's calendar showed, in the simulator's time; nothing can be told once calendars differ. */
    Duration trueTime(Instant stamp) {
        return hosts.values().stream().anyMatch(Host::calendarOff) ? Sightings.UNSEEN : Duration.between(Host.EPOCH, stamp);
    }
}
