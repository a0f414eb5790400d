package org.woadvale.testkit.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.RpcRouter;
import org.woadvale.common.rpc.TcpRpcClient;
import org.woadvale.common.runtime.SystemTimers;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * LeaseManager renewed over the shipped TCP rpc on loopback, both ends in this process: what the sockets cost that
 * hollow machines do not have. Real time; the processor time is the whole process's. (docs/design.md, section 3)
 */
final class Wires implements Mechanism {
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final Duration ALL = Duration.ofSeconds(120);
    private static final int IN_FLIGHT = 16;
    private static final int WARM_UP = 20_000;
    private static final int MOST = 1_000_000;

    @Override
    public String counts() {
        return "asks over one stream";
    }

    @Override
    public List<Integer> sizes() {
        return List.of(10_000, 20_000, 40_000, 80_000);
    }

    @Override
    public int most() {
        return MOST;
    }

    @Override
    public long needs(int size) {
        return 128 << 20;
    }

    private static String free() throws ServiceException {
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        } catch (IOException e) {
            throw new UnavailableException("No free port on loopback.");
        }
    }

    private static double cpuMs() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime() / 1e6;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        SystemTimers timers = new SystemTimers(2);
        RpcRouter router = new RpcRouter();
        router.on(
                ControlMessages.LeaveRequest.class, (f, request) -> Mono.just(new ControlMessages.UpdateResult(true)));
        TcpRpcClient here = new TcpRpcClient(
                free(), RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of()), new RpcRouter(), timers);
        TcpRpcClient there =
                new TcpRpcClient(free(), RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of()), router, timers);
        try {
            there.start();
            ask(here, there.self(), WARM_UP);
            double from = cpuMs();
            ask(here, there.self(), size);
            Map<String, Double> out = new LinkedHashMap<>();
            out.put("processor ms of both ends", cpuMs() - from);
            return out;
        } finally {
            here.stop();
            there.stop();
            timers.close();
        }
    }

    private static void ask(TcpRpcClient from, String to, int n) {
        ControlMessages.LeaveRequest body = new ControlMessages.LeaveRequest("role/intake", to);
        Flux.range(0, n)
                .flatMap(i -> from.call(to, body, ControlMessages.UpdateResult.class, LIMIT), IN_FLIGHT)
                .blockLast(ALL);
    }
}
