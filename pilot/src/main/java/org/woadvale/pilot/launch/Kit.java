package org.woadvale.pilot.launch;

import org.woadvale.foundation.beacon.News;
import org.woadvale.foundation.keeper.Env;
import org.woadvale.foundation.tide.Purses;
import org.woadvale.pilot.Layouts;
import org.woadvale.pilot.berth.Berths;

/** What every launcher of a store shares. */
public record Kit(Env env, News news, Layouts layouts, Purses purses, Berths berths, Targets targets, Post post,
                  Recorder recorder) { }
