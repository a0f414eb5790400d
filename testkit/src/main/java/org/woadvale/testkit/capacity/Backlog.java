package org.woadvale.testkit.capacity;

import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.MessageStateMachine;
import org.woadvale.dataplane.queue.RouteTerms;

/**
 * Messages that wait in one part, 1,250 bytes each: heap, and what taking them and making a view of them costs.
 * (docs/design.md, section 9.8)
 */
final class Backlog implements Mechanism {
    private static final int BODY = 1250;
    private static final long A_MESSAGE = 6000;
    /** A part of 16 MB (docs/design.md, section 9.8). */
    private static final int MOST = 12_000;

    @Override
    public String counts() {
        return "messages waiting in a part";
    }

    @Override
    public List<Integer> sizes() {
        return List.of(1500, 3000, 6000, 12000);
    }

    @Override
    public int most() {
        return MOST;
    }

    @Override
    public long needs(int size) {
        return (64 << 20) + size * A_MESSAGE;
    }

    private static double cpuMs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        long before = Heap.used();
        MessageStateMachine stateMachine = new MessageStateMachine("m0", codec);
        double from = cpuMs();
        for (int i = 1; i <= size; i++) {
            stateMachine.apply(
                    i,
                    new MessageCommands.Accept(
                            "tenant" + i % 8,
                            "hold",
                            "id" + i,
                            "",
                            new byte[BODY],
                            "h".repeat(64),
                            new RouteTerms("reserve", 60000, 8, 3000, false),
                            Instant.EPOCH,
                            Instant.EPOCH));
        }
        double taken = cpuMs() - from;
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("heap of a part KB", (Heap.used() - before) / 1024.0);
        from = cpuMs();
        byte[] view = stateMachine.snapshot();
        double made = cpuMs() - from;
        from = cpuMs();
        new MessageStateMachine("m0", codec).restore(view);
        out.put("view KB", view.length / 1024.0);
        out.put("processor ms to take all", taken);
        out.put("processor ms to make a view", made);
        out.put("processor ms to read a view", cpuMs() - from);
        return out;
    }
}
