package org.woadvale.trials.squall;

import java.util.function.BiFunction;
import java.util.function.UnaryOperator;

import org.woadvale.foundation.beam.Beam;
import org.woadvale.foundation.keeper.Pace;
import org.woadvale.foundation.lantern.Times;
import org.woadvale.foundation.logbook.Disk;
import org.woadvale.pilot.launch.Post;

/** Where a stand-in may take the place of what the shipped nodes are given; by address. design 12.3 */
public record Seams(BiFunction<String, Beam, Beam> beam, BiFunction<String, Disk, Disk> disk,
                    BiFunction<String, Times, Times> times, BiFunction<String, Post, Post> post,
                    UnaryOperator<Pace> pace) {

    public static Seams none() {
        return new Seams((a, b) -> b, (a, d) -> d, (a, t) -> t, (a, p) -> p, p -> p);
    }

    public Seams withBeam(BiFunction<String, Beam, Beam> b) {
        return new Seams(b, disk, times, post, pace);
    }

    public Seams withDisk(BiFunction<String, Disk, Disk> d) {
        return new Seams(beam, d, times, post, pace);
    }

    public Seams withTimes(BiFunction<String, Times, Times> t) {
        return new Seams(beam, disk, t, post, pace);
    }

    public Seams withPost(BiFunction<String, Post, Post> p) {
        return new Seams(beam, disk, times, p, pace);
    }

    public Seams withPace(UnaryOperator<Pace> p) {
        return new Seams(beam, disk, times, post, p);
    }
}
