package org.woadvale.dataplane.delivery;

import org.woadvale.dataplane.queue.Message;

/** Where the processor of an attempt can be asked; not knowing is not the same as its being gone. design 9.3 */
record ProcessorStatus(Kind kind, String address) {
    enum Kind {
        NOT_KNOWN_NOW,
        GONE,
        FETCHES,
        AT
    }

    /** An attempt that was fetched has this before the id of the fetch, where a pushed one has the address. */
    static final String FETCHED = "fetch:";

    static ProcessorStatus of(Kind kind) {
        return new ProcessorStatus(kind, "");
    }

    /** The one that has the attempt; whoever is listed under its id at another address now is not. */
    static ProcessorStatus listed(Message m, String address) {
        if (m.where().startsWith(FETCHED)) {
            return of(Kind.FETCHES);
        }
        if (m.where().isEmpty()) {
            // stored by a build that did not remember it
            return address.isEmpty() ? of(Kind.FETCHES) : new ProcessorStatus(Kind.AT, address);
        }
        return new ProcessorStatus(m.where().equals(address) ? Kind.AT : Kind.GONE, m.where());
    }

    static ProcessorStatus gone(Message m) {
        return new ProcessorStatus(Kind.GONE, m.where().startsWith(FETCHED) ? "" : m.where());
    }

    boolean canBeAsked() {
        return !address.isEmpty();
    }
}
