package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

/** A network that delays, loses, doubles, and can be cut in one direction. */
public final class SimNet {
    /** Is told each frame that is sent, with the size of its bytes. */
    public interface FrameListener {
        void sent(String from, String to, Frame frame, int bytes);
    }

    private final Simulator sim;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    /** Frames that wait in a stream whose other end does not take them: they are late, not lost. */
    private final Map<String, List<Runnable>> stalled = new HashMap<>();

    private final SlowLinks slowLinks = new SlowLinks();

    private double loss;
    private double twice;
    private long frames;
    private FrameListener frameListener = (from, to, frame, bytes) -> {};

    public SimNet(Simulator sim) {
        this.sim = sim;
    }

    void add(Host host) {
        hosts.put(host.address, host);
    }

    public void setLossAndDuplication(double newLoss, double newTwice) {
        loss = newLoss;
        twice = newTwice;
    }

    public void cutOneWay(String from, String to) {
        cuts.add(from + ">" + to);
    }

    public void cutOff(String who) {
        hosts.keySet().stream().filter(h -> !h.equals(who)).forEach(h -> cut(who, h));
    }

    /** Frames between two peers wait until all is healed, as in a stream that TCP keeps alive. */
    public void stall(String one, String other) {
        stalled.putIfAbsent(one + ">" + other, new ArrayList<>());
        stalled.putIfAbsent(other + ">" + one, new ArrayList<>());
    }

    public void cut(String one, String other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    public void join(String one, String other) {
        cuts.remove(one + ">" + other);
        cuts.remove(other + ">" + one);
    }

    public void heal() {
        cuts.clear();
        List<Runnable> late = stalled.values().stream().flatMap(List::stream).toList();
        stalled.clear();
        late.forEach(task -> sim.after(delay(), task));
    }

    private void transmit(String from, String to, int bytes, Runnable arrive) {
        List<Runnable> stalledFrames = stalled.get(from + ">" + to);
        if (stalledFrames != null) {
            stalledFrames.add(arrive);
        } else {
            sim.after(delay().plus(slowLinks.queue(from, to, bytes, sim.now())), arrive);
        }
    }

    public boolean reaches(String from, String to) {
        return !cuts.contains(from + ">" + to);
    }

    /** The link takes so many bytes a second from now on, in this direction. */
    public void slowLink(String from, String to, long bytesPerSecond) {
        slowLinks.slow(from, to, bytesPerSecond);
    }

    public void onFrame(FrameListener listener) {
        frameListener = listener;
    }

    private void sent(String from, String to, Frame frame, byte[] bytes) {
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
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return Mono.defer(() -> {
                        Sinks.One<Frame> sink = Sinks.one();
                        TimerHandle timeout = self.after(
                                limit, () -> sink.tryEmitError(new OutcomeUnknownException("No answer in time.")));
                        Frame ask = new Frame(1, Frame.Kind.REQUEST, body);
                        byte[] bytes = codec.write(ask);
                        sent(self.address, to, ask, bytes);
                        long life = self.life();
                        deliver(to, bytes, sink, life);
                        if (sim.chance(twice)) {
                            deliver(to, bytes, sink, life);
                        }
                        return sink.asMono().doFinally(signal -> timeout.cancel());
                    })
                    .flatMap(frame -> frame.kind() == Frame.Kind.ERROR
                            ? Mono.<T>error(fault((Frame.ErrorResponse) frame.body()))
                            : Mono.just(answer.cast(frame.body())));
        }

        private ServiceException fault(Frame.ErrorResponse error) {
            return ServiceException.of(ErrorKind.valueOf(error.kind()), error.message(), error.details());
        }

        private void deliver(String to, byte[] bytes, Sinks.One<Frame> sink, long life) {
            frames++;
            Optional<Host> target = Optional.ofNullable(hosts.get(to));
            if (!to.equals(self.address) && lost(self.address, to)) {
                return;
            }
            transmit(self.address, to, bytes.length, () -> {
                if (target.isEmpty() || !target.get().alive()) {
                    onCaller(life, () -> sink.tryEmitError(new UnreachableException("No stream to " + to + ".")));
                    return;
                }
                target.get()
                        .execute(() -> PendingCalls.serve(target.get().router(), self.address, read(bytes))
                                .subscribe(frame -> reply(target.get(), frame, sink, life)));
            });
        }

        private Frame read(byte[] bytes) {
            try {
                return codec.read(bytes, Frame.class);
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        }

        private void reply(Host from, Frame frame, Sinks.One<Frame> sink, long life) {
            byte[] bytes = codec.write(frame);
            sent(from.address, self.address, frame, bytes);
            if (from.alive() && (from == self || !lost(from.address, self.address))) {
                transmit(
                        from.address,
                        self.address,
                        bytes.length,
                        () -> onCaller(life, () -> sink.tryEmitValue(read(bytes))));
            }
        }

        private void onCaller(long life, Runnable task) {
            if (self.life() == life && self.alive()) {
                self.execute(task);
            }
        }
    }
}
