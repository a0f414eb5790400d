package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.Frame;
import org.woadvale.common.rpc.PendingCalls;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A network that delays, loses and duplicates frames and whose links can be cut in each direction separately. */
public final class SimNet {
    /** Called for each frame that is sent, with its encoded size. */
    public interface FrameListener {
        void sent(String from, String to, Frame frame, int bytes);
    }

    private final Simulator sim;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Set<String> blockedLinks = new HashSet<>();
    /** Frames of connections whose receiver does not read them: they are delivered late, not lost. */
    private final Map<String, List<Runnable>> stalledFrames = new HashMap<>();

    private final SlowLinks slowLinks = new SlowLinks();

    private double loss;
    private double duplication;
    private long frames;
    private FrameListener frameListener = (from, to, frame, bytes) -> {};

    public SimNet(Simulator sim) {
        this.sim = sim;
    }

    void add(Host host) {
        hosts.put(host.address, host);
    }

    public void setLossAndDuplication(double newLoss, double newDuplication) {
        loss = newLoss;
        duplication = newDuplication;
    }

    public void cutOneWay(String from, String to) {
        blockedLinks.add(from + ">" + to);
    }

    public void cutOff(String node) {
        hosts.keySet().stream().filter(h -> !h.equals(node)).forEach(h -> cut(node, h));
    }

    /** Holds back frames between two peers until {@link #heal}, as on a connection that TCP keeps open. */
    public void stall(String one, String other) {
        stalledFrames.putIfAbsent(one + ">" + other, new ArrayList<>());
        stalledFrames.putIfAbsent(other + ">" + one, new ArrayList<>());
    }

    public void cut(String one, String other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    public void join(String one, String other) {
        blockedLinks.remove(one + ">" + other);
        blockedLinks.remove(other + ">" + one);
    }

    public void heal() {
        blockedLinks.clear();
        List<Runnable> delayed =
                stalledFrames.values().stream().flatMap(List::stream).toList();
        stalledFrames.clear();
        delayed.forEach(task -> sim.after(delay(), task));
    }

    private void transmit(String from, String to, int bytes, Runnable delivery) {
        List<Runnable> waiting = stalledFrames.get(from + ">" + to);
        if (waiting != null) {
            waiting.add(delivery);
        } else {
            sim.after(delay().plus(slowLinks.enqueue(from, to, bytes, sim.now())), delivery);
        }
    }

    public boolean reaches(String from, String to) {
        return !blockedLinks.contains(from + ">" + to);
    }

    /** Limits the throughput of a link in this direction from now on. */
    public void slowLink(String from, String to, long bytesPerSecond) {
        slowLinks.limit(from, to, bytesPerSecond);
    }

    public void onFrame(FrameListener listener) {
        frameListener = listener;
    }

    private void recordSent(String from, String to, Frame frame, byte[] bytes) {
        sim.trace().add(sim.now(), from + ">" + to);
        frameListener.sent(from, to, frame, bytes.length);
    }

    public long frames() {
        return frames;
    }

    Duration delay() {
        return sim.chance(0.01) ? sim.between(5_000, 60_000) : sim.between(100, 1500);
    }

    private boolean lost(String from, String to) {
        return !reaches(from, to) || sim.chance(loss);
    }

    RpcClient rpc(Host self, Codec codec) {
        return new SimRpc(self, codec);
    }

    private final class SimRpc implements RpcClient {
        private final Host self;
        private final Codec codec;

        SimRpc(Host self, Codec codec) {
            this.self = self;
            this.codec = codec;
        }

        @Override
        public String self() {
            return self.address;
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration timeout) {
            return Mono.defer(() -> {
                        Sinks.One<Frame> sink = Sinks.one();
                        TimerHandle timer = self.after(
                                timeout, () -> sink.tryEmitError(new OutcomeUnknownException("No answer in time.")));
                        Frame request = new Frame(1, Frame.Kind.REQUEST, body);
                        byte[] bytes = codec.write(request);
                        recordSent(self.address, to, request, bytes);
                        long incarnation = self.incarnation();
                        AtomicBoolean doubled = new AtomicBoolean();
                        deliver(to, bytes, sink, incarnation, doubled::get);
                        doubled.set(sim.chance(duplication));
                        return sink.asMono().doFinally(signal -> timer.cancel());
                    })
                    .flatMap(frame -> frame.kind() == Frame.Kind.ERROR
                            ? Mono.<T>error(toException((Frame.ErrorResponse) frame.body()))
                            : Mono.just(answer.cast(frame.body())));
        }

        private ServiceException toException(Frame.ErrorResponse error) {
            return ServiceException.of(ErrorKind.valueOf(error.kind()), error.message(), error.details());
        }

        /**
         * Delivers a frame, and after it the copy of a doubled one: the callee serves both, and as a connection carries
         * one answer to a call, that to the copy reaches nobody.
         */
        private void deliver(
                String to, byte[] bytes, Sinks.One<Frame> sink, long incarnation, BooleanSupplier doubled) {
            frames++;
            Optional<Host> target = Optional.ofNullable(hosts.get(to));
            if (!to.equals(self.address) && lost(self.address, to)) {
                return;
            }
            transmit(self.address, to, bytes.length, () -> {
                if (target.isEmpty() || !target.get().connected() || !self.connected()) {
                    runOnCaller(
                            incarnation, () -> sink.tryEmitError(new UnreachableException("No stream to " + to + ".")));
                    return;
                }
                target.get()
                        .execute(() -> PendingCalls.serve(target.get().router(), self.address, read(bytes))
                                .subscribe(frame -> reply(target.get(), frame, sink, incarnation)));
                if (doubled.getAsBoolean()) {
                    deliver(to, bytes, Sinks.one(), incarnation, () -> false);
                }
            });
        }

        private Frame read(byte[] bytes) {
            try {
                return codec.read(bytes, Frame.class);
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        }

        private void reply(Host from, Frame frame, Sinks.One<Frame> sink, long incarnation) {
            byte[] bytes = codec.write(frame);
            recordSent(from.address, self.address, frame, bytes);
            if (from.connected() && (from == self || !lost(from.address, self.address))) {
                transmit(
                        from.address,
                        self.address,
                        bytes.length,
                        () -> runOnCaller(incarnation, () -> sink.tryEmitValue(read(bytes))));
            }
        }

        private void runOnCaller(long incarnation, Runnable task) {
            if (self.incarnation() == incarnation && self.alive()) {
                self.execute(task);
            }
        }
    }
}
