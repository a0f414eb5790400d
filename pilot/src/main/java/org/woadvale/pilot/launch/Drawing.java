package org.woadvale.pilot.launch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.woadvale.foundation.chart.Layout;
import org.woadvale.foundation.watch.Places;

/** Who may receive work of a service now, by views of proven age: design 7.2. */
final class Drawing {
    static final String ENDPOINT = "endpoint";

    private Drawing() { }

    static List<Targets.Target> targets(Launcher l, String service) {
        Optional<Layout.Service> s = l.kit().layouts().fresh().map(k -> k.layout().services().get(service));
        if (s.isEmpty()) {
            return List.of();
        }
        if (s.get().kind() == Layout.Kind.ENDPOINT) {
            return List.of(new Targets.Target(service, ENDPOINT, s.get().address()));
        }
        List<Targets.Target> out = new ArrayList<>();
        l.kit().news().fresh(Places.processors(service)).ifPresent(v -> v.processors().forEach((id, p) -> {
            if (!p.leaving() && !p.address().isEmpty()) {
                out.add(new Targets.Target(service + "/" + id, id, p.address()));
            }
        }));
        return out;
    }
}
