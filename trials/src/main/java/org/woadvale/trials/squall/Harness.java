package org.woadvale.trials.squall;

import java.time.Duration;

import org.woadvale.foundation.beam.Beam;
import org.woadvale.foundation.beam.Codec;
import org.woadvale.foundation.beam.Router;

/** A simulated host for tests of single components. */
public final class Harness {
    private final Host host;
    private final SimNet net;

    public Harness(String address, Sim sim, SimNet net) {
        this.host = new Host(address, sim);
        this.net = net;
        net.add(host);
    }

    public Host host() {
        return host;
    }

    public SimDisk disk() {
        return host.disk;
    }

    public Beam beam(Codec codec) {
        return net.beam(host, codec);
    }

    public void boot(Router r) {
        host.boot(r);
    }

    public boolean alive() {
        return host.alive();
    }

    public void kill() {
        host.kill();
    }

    public void powerLoss() {
        host.powerLoss();
    }

    public void pause(Duration d) {
        host.pause(d);
    }
}
