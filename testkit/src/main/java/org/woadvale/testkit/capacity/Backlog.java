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
 * Messages waiting in one partition, each with a body of 1,250 bytes: the heap they occupy, and the CPU time of applying
 * them and of writing and reading a snapshot. (docs/design.md, section 9.8)
 */
final class Backlog implements Mechanism {
    private static final int BODY_BYTES = 1250;
    private static final long HEAP_BYTES_PER_MESSAGE = 6000;
    /** A partition holds at most 16 MB. (docs/design.md, section 9.8) */
    private static final int MAX_MESSAGES = 12_000;

    @Override
    public String sizeLabel() {
        return "messages waiting in a part";
    }

    @Override
    public List<Integer> defaultSizes() {
        return List.of(1500, 3000, 6000, 12000);
    }

    @Override
    public int maxSize() {
        return MAX_MESSAGES;
    }

    @Override
    public long estimatedHeapBytes(int size) {
        return (64 << 20) + size * HEAP_BYTES_PER_MESSAGE;
    }

    private static double cpuMs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6;
    }

    @Override
    public Map<String, Double> measure(int size) throws ServiceException {
        Codec codec = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());
        long before = Heap.usedAfterCollection();
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
                            new byte[BODY_BYTES],
                            "h".repeat(64),
                            new RouteTerms("reserve", 60000, 8, 3000, false),
                            Instant.EPOCH,
                            Instant.EPOCH));
        }
        double applyMs = cpuMs() - from;
        Map<String, Double> out = new LinkedHashMap<>();
        out.put("heap of a part KB", (Heap.usedAfterCollection() - before) / 1024.0);
        from = cpuMs();
        byte[] snapshot = stateMachine.snapshot();
        double snapshotMs = cpuMs() - from;
        from = cpuMs();
        new MessageStateMachine("m0", codec).restore(snapshot);
        out.put("view KB", snapshot.length / 1024.0);
        out.put("processor ms to take all", applyMs);
        out.put("processor ms to make a view", snapshotMs);
        out.put("processor ms to read a view", cpuMs() - from);
        return out;
    }
}
