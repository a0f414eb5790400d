package org.woadvale.pilot.launch;

import java.time.Duration;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.tide.Purses;
import org.woadvale.pilot.Layouts;
import org.woadvale.pilot.berth.Berths;

/** What every launcher of a store shares; lease is how long a leased message rests after its last word. */
public record Kit(Env env, News news, Layouts layouts, Purses purses, Berths berths, Targets targets, Post post,
                  Speech speech, Recorder recorder, Duration lease, String hall) { }
