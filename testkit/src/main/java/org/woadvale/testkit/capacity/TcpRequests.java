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
 * Small requests over the production TCP transport on loopback, with both ends in this process: the cost of the sockets
 * that hollow machines lack. Runs in real time; the CPU time is that of the whole process. (docs/design.md, section 3)
 */
final class TcpRequests implements Mechanism {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(120);
    private static final int IN_FLIGHT = 16;
    private static final int WARM_UP = 20_000;
    private static final int MAX_REQUESTS = 1_000_000;

    @Override
    public String sizeLabel() {
        return "asks over one stream";
    }

    @Override
    public List<Integer> defaultSizes() {
        return List.of(10_000, 20_000, 40_000, 80_000);
    }

    @Override
    public int maxSize() {
        return MAX_REQUESTS;
    }

    @Override
    public long estimatedHeapBytes(int size) {
        return 128 << 20;
    }

    private static String freeAddress() throws ServiceException {
        try (ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        } catch (IOException e) {
            throw new UnavailableException("There is no free port on loopback.");
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
        TcpRpcClient client = new TcpRpcClient(
                freeAddress(), RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of()), new RpcRouter(), timers);
        TcpRpcClient server = new TcpRpcClient(
                freeAddress(), RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, List.of()), router, timers);
        try {
            server.start();
            sendRequests(client, server.self(), WARM_UP);
            double from = cpuMs();
            sendRequests(client, server.self(), size);
            Map<String, Double> out = new LinkedHashMap<>();
            out.put("processor ms of both ends", cpuMs() - from);
            return out;
        } finally {
            client.stop();
            server.stop();
            timers.close();
        }
    }

    private static void sendRequests(TcpRpcClient from, String to, int n) {
        ControlMessages.LeaveRequest body = new ControlMessages.LeaveRequest("role/intake", to);
        Flux.range(0, n)
                .flatMap(i -> from.call(to, body, ControlMessages.UpdateResult.class, CALL_TIMEOUT), IN_FLIGHT)
                .blockLast(RUN_TIMEOUT);
    }
}
