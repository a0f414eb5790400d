package org.woadvale.trials.buoy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What callers, back ends and operators saw, and nothing else; the checker reads only this. */
public final class Sightings {
    public enum Said { ACCEPTED, REFUSED, UNKNOWN }

    /** One hand-in by one caller; a repeat of an id is a hand-in of its own. */
    public record HandedIn(String tenant, String id, String lane, String orderKey, String key, Duration sent,
                           Duration answered, Said said, String kind, String handle, boolean repeated) { }

    public record Ran(String handle, String callerId, String tenant, String lane, String orderKey, int attempt,
                      String processor, String service, Duration begun) { }

    public record Answered(String handle, int attempt, String processor, Duration at, boolean success, String receipt) { }

    public record Shown(String handle, String state, String proof, Duration asked, Duration at) { }

    public record LayoutSaid(String requestId, long version, boolean taken, boolean valid, Duration at, String digest) { }

    public record LayoutRead(long version, String digest, Duration asked) { }

    public record KeyWithdrawn(String key, Duration acknowledged) { }

    public record MarkedLeaving(String processor, Duration acknowledged) { }

    public record RequestAtEndpoint(String service, Duration at) { }

    public record LayoutNeeded(String what, Duration acknowledged, Duration seenIgnored) { }

    public record Outage(Duration restarted, Duration served) { }

    public final List<HandedIn> handedIn = new ArrayList<>();
    public final List<Ran> ran = new ArrayList<>();
    public final List<Answered> answered = new ArrayList<>();
    public final List<Shown> shown = new ArrayList<>();
    public final List<LayoutSaid> layouts = new ArrayList<>();
    public final List<LayoutRead> reads = new ArrayList<>();
    public final List<KeyWithdrawn> keys = new ArrayList<>();
    public final List<MarkedLeaving> leaving = new ArrayList<>();
    public final List<RequestAtEndpoint> endpoints = new ArrayList<>();
    public final List<LayoutNeeded> ignored = new ArrayList<>();
    public final List<Outage> outages = new ArrayList<>();
    /** Allowances by tenant and rates by endpoint, as the operator set them. */
    public final Map<String, double[]> allowances = new HashMap<>();
    public final Map<String, Double> rates = new HashMap<>();

    public synchronized <T> void saw(List<T> list, T what) {
        list.add(what);
    }

    public synchronized <T> List<T> copy(List<T> list) {
        return List.copyOf(list);
    }
}
