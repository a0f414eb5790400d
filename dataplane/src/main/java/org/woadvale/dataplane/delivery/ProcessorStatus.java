package org.woadvale.dataplane.delivery;

import org.woadvale.dataplane.queue.Message;

/**
 * Where the processor of an attempt can be asked; not knowing is not the same as its being gone. (docs/design.md,
 * section 9.3)
 */
record ProcessorStatus(Kind kind, String address) {
    enum Kind {
        UNKNOWN,
        GONE,
        PULLS,
        REACHABLE
    }

    /** An attempt that was fetched has this before the id of the fetch, where a pushed one has the address. */
    static final String FETCH_PREFIX = "fetch:";

    static ProcessorStatus of(Kind kind) {
        return new ProcessorStatus(kind, "");
    }

    /** The one that has the attempt; whoever is listed under its id at another address now is not. */
    static ProcessorStatus listed(Message message, String address) {
        if (message.destination().startsWith(FETCH_PREFIX)) {
            return of(Kind.PULLS);
        }
        if (message.destination().isEmpty()) {
            // stored by a build that did not remember it
            return address.isEmpty() ? of(Kind.PULLS) : new ProcessorStatus(Kind.REACHABLE, address);
        }
        return new ProcessorStatus(
                message.destination().equals(address) ? Kind.REACHABLE : Kind.GONE, message.destination());
    }

    static ProcessorStatus gone(Message message) {
        return new ProcessorStatus(
                Kind.GONE, message.destination().startsWith(FETCH_PREFIX) ? "" : message.destination());
    }

    boolean canBeAsked() {
        return !address.isEmpty();
    }
}
