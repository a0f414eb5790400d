package org.woadvale.dataplane.delivery;

import org.woadvale.dataplane.queue.Message;

/**
 * Whether the processor of an attempt can be asked for the outcome, and where. UNKNOWN is not GONE: a processor is gone
 * only if a fresh view proves it. (docs/design.md, section 9.3)
 */
record ProcessorStatus(Kind kind, String address) {
    enum Kind {
        UNKNOWN,
        GONE,
        PULLS,
        REACHABLE
    }

    /**
     * Prefix of the destination of a fetched attempt, followed by the id of the fetch; a pushed attempt has the address
     * there.
     */
    static final String FETCH_PREFIX = "fetch:";

    static ProcessorStatus of(Kind kind) {
        return new ProcessorStatus(kind, "");
    }

    /**
     * The status of the processor that has the attempt, given the address that is listed under its id now: at another
     * address it is another processor, and the original one is gone.
     */
    static ProcessorStatus listed(Message message, String address) {
        if (message.destination().startsWith(FETCH_PREFIX)) {
            return of(Kind.PULLS);
        }
        if (message.destination().isEmpty()) {
            // stored by a build that did not record the destination
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
