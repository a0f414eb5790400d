package org.woadvale.pilot.gangway;

import java.time.Duration;

import org.woadvale.foundation.chart.Layout;
import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.watch.Places;
import org.woadvale.pilot.Layouts;
import org.woadvale.pilot.berth.Commands;
import org.woadvale.pilot.berth.Message;
import org.woadvale.pilot.launch.Courier;

import reactor.core.publisher.Mono;

/** What became of a message, found by its handle alone from any intake. design 9.6 */
public final class Queries {
    private static final Duration LIMIT = Duration.ofMillis(1800);
    private static final String HANDLE = "m[0-9]{1,4}-[0-9]{1,18}";
    private final Layouts layouts;
    private final Courier courier;

    public Queries(Layouts layouts, Courier courier) {
        this.layouts = layouts;
        this.courier = courier;
    }

    static String partOf(String handle) throws Fault {
        String part = handle.replaceAll("-.*", "");
        if (!handle.matches(HANDLE) || !Places.messageParts().contains(part)) {
            throw new Fault(ErrorKind.NOT_FOUND, "No such message.");
        }
        return part;
    }

    /** The message, if it is of the secret's tenant; NOT_FOUND else, the same as for one that never was. */
    public Mono<Message> message(String secret, String handle) {
        return Mono.defer(() -> {
            try {
                Layout.Key key = layouts.require().key(secret).filter(k -> k.role() == Layout.Role.CALLER)
                    .orElseThrow(() -> new Fault(ErrorKind.UNAUTHORISED, "The key is missing, wrong or withdrawn."));
                String part = partOf(handle);
                return courier.ask(part, new Commands.StatusAsk(part, handle, key.tenant()), Message.class, LIMIT);
            } catch (Fault e) {
                return Mono.error(e);
            }
        });
    }
}
