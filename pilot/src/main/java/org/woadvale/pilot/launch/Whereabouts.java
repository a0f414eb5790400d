package org.woadvale.pilot.launch;

/** Where the processor of an attempt can be asked; not knowing is not the same as its being gone. design 9.3 */
record Whereabouts(Kind kind, String address) {
    enum Kind { NOT_KNOWN_NOW, GONE, FETCHES, AT }

    static Whereabouts of(Kind kind) {
        return new Whereabouts(kind, "");
    }

    static Whereabouts at(String address) {
        return new Whereabouts(Kind.AT, address);
    }
}
