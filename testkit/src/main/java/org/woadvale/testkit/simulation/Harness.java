package org.woadvale.testkit.simulation;

import java.time.Duration;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRouter;

/** A simulated host for tests of single components. */
public final class Harness {
    private final Host host;
    private final SimNet net;

    public Harness(String address, Simulator sim, SimNet net) {
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

    public RpcClient rpc(Codec codec) {
        return net.rpc(host, codec);
    }

    public void boot(RpcRouter router) {
        host.boot(router);
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

    public void pause(Duration duration) {
        host.pause(duration);
    }

    /** From now on each disk operation takes {@code factor} times as long. */
    public void slowDisk(int factor) {
        host.slowDisk(factor);
    }
}
