package org.woadvale.pilot.gangway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.woadvale.foundation.chart.Charts;
import org.woadvale.foundation.chart.Layout;
import org.woadvale.foundation.gate.Request;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.pilot.Layouts;

/** Keys and inputs are checked on every request, on open streams too: design 7.2 and 9.6. */
final class Doors {
    private final Layouts layouts;

    Doors(Layouts layouts) {
        this.layouts = layouts;
    }

    Layout.Key key(Request q, Layout.Role role) throws Fault {
        Layouts.Known k = layouts.require();
        Optional<Layout.Key> key = q.secret().flatMap(k::key);
        if (key.isEmpty()) {
            throw new Fault(ErrorKind.UNAUTHORISED, "The key is missing, wrong or withdrawn.");
        }
        if (key.get().role() != role) {
            throw new Fault(ErrorKind.FORBIDDEN, "This key is not for " + role.name().toLowerCase(java.util.Locale.ROOT)
                + "s.");
        }
        return key.get();
    }

    /** Empty where the lane asks for no key. */
    Optional<Layout.Key> callerKey(String secret, String lane) throws Fault {
        Layouts.Known k = layouts.require();
        Optional<Layout.Key> key = k.key(secret).filter(x -> x.role() == Layout.Role.CALLER);
        if (key.isEmpty() && !lane(lane).keyless()) {
            throw new Fault(ErrorKind.UNAUTHORISED, "The key is missing, wrong or withdrawn.");
        }
        return key;
    }

    Layout.Lane lane(String name) throws Fault {
        return Optional.ofNullable(layouts.require().layout().lanes().get(name))
            .orElseThrow(() -> new Fault(ErrorKind.UNKNOWN_LANE, "There is no lane " + name + "."));
    }

    <T> T body(Request q, Class<T> type) throws Fault {
        T t = Charts.read(q.body(), type, ErrorKind.BAD_REQUEST);
        List<String> faults = new ArrayList<>(Charts.faults(t));
        if (!faults.isEmpty()) {
            throw new Fault(ErrorKind.BAD_REQUEST, "The request has " + faults.size() + " faults.", faults);
        }
        return t;
    }
}
