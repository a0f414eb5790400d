package org.woadvale.foundation.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.keeper.Messages;
import org.woadvale.foundation.tide.Passes;

/** The numbers of the types on inner streams; in each list, only ever add at the end. design 3.2 */
public final class Wire {
    public static final int LIGHTHOUSE = 300;
    public static final int PILOT = 400;
    private static final int SHARED = 100;

    private Wire() { }

    public static Codec codec(int ownFirst, List<Class<?>> own) {
        List<Class<?>> shared = new ArrayList<>();
        shared.addAll(Messages.types());
        shared.addAll(Asks.types());
        shared.addAll(Passes.types());
        shared.addAll(Asks.later());
        return new Codec(Map.of(SHARED, shared, ownFirst, own));
    }
}
