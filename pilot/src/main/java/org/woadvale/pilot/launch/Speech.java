package org.woadvale.pilot.launch;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import org.woadvale.pilot.berth.Message;

/** Seam: how a delivery is written for a back end, and what its answer means. design 9.3 */
public interface Speech {
    /** The request for one attempt; limit is how long the attempt may take. */
    Post.Call push(Message m, Targets.Target to, Duration limit, BooleanSupplier still);

    Verdict read(Message m, Post.Reply r);

    /** Whether a back end can be asked what became of an attempt. */
    boolean inquires();
}
